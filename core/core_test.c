#include <CUnit/Basic.h>
#include <uv.h>

#include "core/clock.h"
#include "core/counter.h"
#include "core/id.h"
#include "core/mailbox.h"

static void
test_quantiles_are_at_most_a_sixteenth_high(void)
{
    static struct rs_histogram histogram;
    for (uint64_t value = 1; value <= 10000; value++) {
        RsHistogram_Record(&histogram, value);
    }
    uint64_t p50 = RsHistogram_Quantile(&histogram, 0.5);
    uint64_t p99 = RsHistogram_Quantile(&histogram, 0.99);
    CU_ASSERT(p50 >= 5000 && p50 <= 5000 + 5000 / 16 + 1);
    CU_ASSERT(p99 >= 9900 && p99 <= 9900 + 9900 / 16 + 1);
}

static void
test_empty_histogram_has_quantile_zero(void)
{
    static struct rs_histogram histogram;
    CU_ASSERT_EQUAL(RsHistogram_Quantile(&histogram, 0.99), 0);
}

static void
test_largest_value_does_not_leave_the_buckets(void)
{
    static struct rs_histogram histogram;
    RsHistogram_Record(&histogram, UINT64_MAX);
    CU_ASSERT_EQUAL(RsCounter_Read(&histogram.count), 1);
}

static void
test_id_text_round_trip(void)
{
    char text[RsId_TEXT_BYTES];
    uint64_t back = 0;
    RsId_Format(0x00ab, text);
    CU_ASSERT_STRING_EQUAL(text, "00000000000000ab");
    CU_ASSERT_EQUAL(RsId_Parse(text, &back), 0);
    CU_ASSERT_EQUAL(back, 0x00ab);
    CU_ASSERT(RsId_Parse("00ab", &back) < 0);
    CU_ASSERT(RsId_Parse("00000000000000zz", &back) < 0);
    CU_ASSERT(RsId_Parse("00000000000000ab0", &back) < 0);
}

struct numbered {
    struct rs_message message;
    int number;
};

struct sink {
    struct rs_mailbox mailbox;
    int seen[2];
    int count;
};

static void
keep_number(void *arg, struct rs_message *message)
{
    struct sink *sink = arg;
    struct numbered *numbered = (struct numbered *)message;
    sink->seen[sink->count++] = numbered->number;
    if (sink->count == 2) {
        RsMailbox_Close(&sink->mailbox);
    }
}

static void
test_mailbox_keeps_order(void)
{
    uv_loop_t loop;
    struct sink sink = {0};
    struct numbered first = {.number = 1};
    struct numbered second = {.number = 2};
    uv_loop_init(&loop);
    CU_ASSERT_EQUAL(RsMailbox_Open(&sink.mailbox, &loop, keep_number, &sink),
                    0);
    RsMailbox_Post(&sink.mailbox, &first.message);
    RsMailbox_Post(&sink.mailbox, &second.message);
    uv_run(&loop, UV_RUN_DEFAULT);
    CU_ASSERT_EQUAL(sink.seen[0], 1);
    CU_ASSERT_EQUAL(sink.seen[1], 2);
    CU_ASSERT_EQUAL(uv_loop_close(&loop), 0);
}

static void
test_clock_rises(void)
{
    int64_t before_us = RsClock_NowUs();
    CU_ASSERT(RsClock_NowUs() >= before_us);
}

int
main(void)
{
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("core", NULL, NULL);
    CU_ADD_TEST(suite, test_quantiles_are_at_most_a_sixteenth_high);
    CU_ADD_TEST(suite, test_empty_histogram_has_quantile_zero);
    CU_ADD_TEST(suite, test_largest_value_does_not_leave_the_buckets);
    CU_ADD_TEST(suite, test_id_text_round_trip);
    CU_ADD_TEST(suite, test_mailbox_keeps_order);
    CU_ADD_TEST(suite, test_clock_rises);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 ? 0 : 1;
}
