#include "run-suite.h"

int
run_suite(const char *name, CU_TestInfo *tests)
{
	unsigned int failed;
	CU_pSuite suite;

	if (CU_initialize_registry() != CUE_SUCCESS)
		return 1;
	suite = CU_add_suite(name, NULL, NULL);
	for (; tests->pName != NULL; tests++) {
		if (CU_add_test(suite, tests->pName, tests->pTestFunc) == NULL)
			return 1;
	}
	if (CU_basic_run_tests() != CUE_SUCCESS)
		return 1;
	failed = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failed != 0;
}
