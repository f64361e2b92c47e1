#include <CUnit/Basic.h>

#include "router/delay.h"

#define SENT_MS 5000
#define NOW_MS 90000 /* the clocks differ */

static void
test_first_message_is_on_time(void)
{
    struct rs_delay delay = {0};
    CU_ASSERT_EQUAL(RsDelay_Lateness(&delay, SENT_MS, NOW_MS), 0);
}

/* On a saturated link, changes of the configuration and of the targets queue
 * behind the data that callers download. The receiver must notice that they
 * are late. */
static void
test_messages_delayed_on_the_link_are_late(void)
{
    struct rs_delay delay = {0};
    RsDelay_Lateness(&delay, SENT_MS, NOW_MS);
    for (int64_t i = 1; i <= 10; i++) {
        /* Sent every 200 ms, they arrive every 400 ms. */
        CU_ASSERT_EQUAL(
            RsDelay_Lateness(&delay, SENT_MS + i * 200, NOW_MS + i * 400),
            i * 200);
    }
    /* The link is idle again. */
    CU_ASSERT_EQUAL(RsDelay_Lateness(&delay, SENT_MS + 4200, NOW_MS + 4200),
                    0);
}

static void
test_faster_message_shows_that_the_first_was_late(void)
{
    struct rs_delay delay = {0};
    RsDelay_Lateness(&delay, SENT_MS, NOW_MS + 300);
    CU_ASSERT_EQUAL(RsDelay_Lateness(&delay, SENT_MS + 200, NOW_MS + 200), 0);
    CU_ASSERT_EQUAL(RsDelay_Lateness(&delay, SENT_MS + 400, NOW_MS + 700),
                    300);
}

int
main(void)
{
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("delay", NULL, NULL);
    CU_ADD_TEST(suite, test_first_message_is_on_time);
    CU_ADD_TEST(suite, test_messages_delayed_on_the_link_are_late);
    CU_ADD_TEST(suite, test_faster_message_shows_that_the_first_was_late);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 ? 0 : 1;
}
