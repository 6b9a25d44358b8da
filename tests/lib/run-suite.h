#ifndef TEST_RUN_SUITE_H
#define TEST_RUN_SUITE_H

#include <CUnit/Basic.h>

/*
 * Runs the tests of one program and prints the counts. The array of tests ends
 * with CU_TEST_INFO_NULL. Returns the exit code of the program: 0 if no test
 * failed, otherwise 1.
 */
int run_suite(const char *name, CU_TestInfo *tests);

#endif
