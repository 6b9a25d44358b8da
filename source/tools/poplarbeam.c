#include "../cli/cli.h"

int
main(int argc, char **argv)
{
	struct pb_context *ctx = pb_new_context(pb_system_clock(), NULL);
	int code;

	if (ctx == NULL) {
		fprintf(stderr, "poplarbeam: not enough memory\n");
		return PB_EXIT_UNAVAILABLE;
	}
	code = pb_run_cli(ctx, argc, argv, stdout, stderr);
	pb_drop_context(ctx);
	return code;
}
