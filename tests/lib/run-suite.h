#ifndef TEST_RUN_SUITE_H
#define TEST_RUN_SUITE_H

#include <CUnit/Basic.h>

/*
 * Runs the tests of one program, the last entry being CU_TEST_INFO_NULL, and
 * prints the counts. Returns the exit code: 0 when none failed.
 */
int run_suite(const char *name, CU_TestInfo *tests);

#endif
