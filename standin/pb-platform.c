#include <argtable2.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "lib/platform-server.h"
#include "poplarbeam/base.h"

/*
 * Stand-in for the platform: table service, object store, instance list and
 * fault control in one process, all in memory. Every port serves all paths.
 */

#define PORTS_MAX 8
#define DEFAULT_READS 2000 /* reads per second */
#define DEFAULT_WRITES 400 /* rows written per second */
#define DEFAULT_THREADS 128 /* concurrent requests and idle connections */

struct options {
	char ports[256];
	const char *load;
	double reads;
	double writes;
	int lag_ms;
	int threads;
};

static int
run_server(const struct options *opt)
{
	struct platform_server server;
	sigset_t stop;
	int rc = 1, sig;

	/*
	 * The signals are blocked before any thread starts, so that only
	 * sigwait receives them.
	 */
	sigemptyset(&stop);
	sigaddset(&stop, SIGTERM);
	sigaddset(&stop, SIGINT);
	pthread_sigmask(SIG_BLOCK, &stop, NULL);
	signal(SIGPIPE, SIG_IGN);
	platform_init_server(&server, opt->reads, opt->writes);
	server.lag_ms = opt->lag_ms;
	if (opt->load != NULL &&
	    !platform_load_store(&server.store, opt->load)) {
		fprintf(stderr,
		    "pb-platform: cannot load instances and rows from %s: "
		    "the file is missing or malformed\n",
		    opt->load);
	} else if (!platform_start_server(&server, opt->ports, opt->threads)) {
		fprintf(
		    stderr, "pb-platform: cannot listen on %s\n", opt->ports);
	} else {
		printf("ready\n");
		fflush(stdout);
		sigwait(&stop, &sig);
		rc = 0;
	}
	platform_stop_server(&server);
	return rc;
}

static bool
join_ports(struct options *opt, const int *ports, int count)
{
	size_t len = 0;
	int i;

	for (i = 0; i < count; i++) {
		if (ports[i] < 1 || ports[i] > 65535)
			return false;
		len +=
		    (size_t)snprintf(opt->ports + len, sizeof(opt->ports) - len,
			"%s127.0.0.1:%d", i > 0 ? "," : "", ports[i]);
	}
	return true;
}

int
main(int argc, char **argv)
{
	struct arg_int *port = arg_intn(
	    "p", "port", "PORT", 1, PORTS_MAX, "loopback port to listen on");
	struct arg_file *load =
	    arg_file0("l", "load", "FILE", "initial instances and rows, JSON");
	struct arg_dbl *reads =
	    arg_dbl0(NULL, "reads", "N", "reads per second, default 2000");
	struct arg_dbl *writes = arg_dbl0(
	    NULL, "writes", "N", "rows written per second, default 400");
	struct arg_int *lag = arg_int0(
	    NULL, "lag-ms", "MS", "lag of the instance list, default 0");
	struct arg_int *threads = arg_int0(
	    NULL, "threads", "N", "concurrent connections, default 128");
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_end *end = arg_end(8);
	void *table[] = {port, load, reads, writes, lag, threads, help, end};
	struct options opt = {0};
	int errors, rc = 2;

	reads->dval[0] = DEFAULT_READS;
	writes->dval[0] = DEFAULT_WRITES;
	lag->ival[0] = 0;
	threads->ival[0] = DEFAULT_THREADS;
	errors = arg_parse(argc, argv, table);
	if (help->count > 0) {
		printf("Usage: pb-platform");
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-24s %s\n");
		rc = 0;
	} else if (errors > 0) {
		arg_print_errors(stderr, end, "pb-platform");
	} else if (!join_ports(&opt, port->ival, port->count)) {
		fprintf(stderr, "pb-platform: --port must be 1 to 65535\n");
	} else {
		opt.load = load->count > 0 ? load->filename[0] : NULL;
		opt.reads = reads->dval[0];
		opt.writes = writes->dval[0];
		opt.lag_ms = lag->ival[0];
		opt.threads = threads->ival[0];
		rc = run_server(&opt);
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return rc;
}
