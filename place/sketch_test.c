#include <CUnit/Basic.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "core/id.h"
#include "place/sketch.h"

#define KEYS 10000
#define HOTTEST_COUNT 51 /* number of hottest keys that must be found */
#define WINDOW_MS 1000
#define REQUESTS_PER_MS 10
#define ZIPF_EXPONENT 1.1

static struct rs_sketch sketch;
/* Shares of requests, summed up by rank */
static double cumulative_shares[KEYS];
static double counts[KEYS]; /* exact counts by key, halved like the sketch's */
static uint64_t draw_count;
static int64_t now_ms;

/* Computes the cumulative Zipf distribution. */
static int
compute_distribution(void)
{
    double total = 0;
    for (size_t i = 0; i < KEYS; i++) {
        total += pow((double)(i + 1), -ZIPF_EXPONENT);
        cumulative_shares[i] = total;
    }
    for (size_t i = 0; i < KEYS; i++) {
        cumulative_shares[i] /= total;
    }
    return 0;
}

static void
reset_sketch(void)
{
    now_ms = 500;
    draw_count = 0;
    memset(counts, 0, sizeof(counts));
    RsSketch_Init(&sketch, now_ms, WINDOW_MS);
}

/* Draws a rank from the Zipf distribution; rank 0 is the hottest key. */
static size_t
draw_rank(void)
{
    double share = (double)(RsId_Combine(7, draw_count++) >> 11) * 0x1.0p-53;
    size_t low = 0;
    size_t high = KEYS - 1;
    while (low < high) {
        size_t middle = (low + high) / 2;
        if (cumulative_shares[middle] < share) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}

/* Adds the requests of `windows` windows. The key with rank r is (r + shift)
 * modulo KEYS. */
static void
add_requests(size_t windows, size_t shift)
{
    for (size_t i = 0; i < windows * WINDOW_MS; i++) {
        for (size_t j = 0; j < REQUESTS_PER_MS; j++) {
            size_t key = (draw_rank() + shift) % KEYS;
            RsSketch_Add(&sketch, now_ms, key);
            counts[key]++;
        }
        now_ms++;
        if ((now_ms - 500) % WINDOW_MS == 0) {
            for (size_t j = 0; j < KEYS; j++) {
                counts[j] /= 2;
            }
        }
    }
}

/* Returns how many of the `wanted` hottest keys RsSketch_Top() lists, if the
 * requests were added with this `shift` (see add_requests()). */
static size_t
count_found(size_t wanted, size_t shift)
{
    struct rs_sketch_rate top[RsSketch_MAX_ENTRIES];
    size_t count = RsSketch_Top(&sketch, now_ms, top, RsSketch_MAX_ENTRIES);
    size_t found = 0;
    for (size_t i = 0; i < count; i++) {
        found += (top[i].key + KEYS - shift) % KEYS < wanted ? 1 : 0;
    }
    return found;
}

static void
test_hottest_keys_are_found(void)
{
    add_requests(3, 0);
    CU_ASSERT_EQUAL(count_found(HOTTEST_COUNT, 0), HOTTEST_COUNT);
}

static void
test_rates_lie_within_their_bounds(void)
{
    struct rs_sketch_rate top[RsSketch_MAX_ENTRIES];
    add_requests(3, 0);
    size_t count = RsSketch_Top(&sketch, now_ms, top, RsSketch_MAX_ENTRIES);
    /* After three windows, the halved counts cover 7/8 of a window. */
    double span_s = WINDOW_MS / 1000.0 * 7 / 8;
    CU_ASSERT(count >= HOTTEST_COUNT);
    for (size_t i = 0; i < count; i++) {
        double rate = counts[top[i].key] / span_s;
        CU_ASSERT(top[i].at_least_per_s <= rate + 1e-6);
        CU_ASSERT(top[i].at_most_per_s >= rate - 1e-6);
        CU_ASSERT(i == 0 ||
                  top[i - 1].at_least_per_s >= top[i].at_least_per_s);
    }
}

/* A key with more than 1/512 of the requests has an entry, whatever the other
 * keys are. */
static void
test_heavy_key_has_an_entry(void)
{
    struct rs_sketch_rate rate;
    for (uint64_t i = 0; i < 200000; i++) {
        RsSketch_Add(&sketch, now_ms, i % 400 == 0 ? 1 : i + KEYS);
    }
    CU_ASSERT(RsSketch_Rate(&sketch, now_ms, 1, &rate));
    CU_ASSERT(!RsSketch_Rate(&sketch, now_ms, KEYS + 5, &rate));
}

static void
test_changed_hot_set_is_found_within_two_windows(void)
{
    struct rs_sketch_rate top[HOTTEST_COUNT];
    add_requests(10, 0);
    add_requests(2, KEYS / 2);
    size_t count = RsSketch_Top(&sketch, now_ms, top, HOTTEST_COUNT);
    CU_ASSERT_EQUAL(count, HOTTEST_COUNT);
    CU_ASSERT_EQUAL(top[0].key, KEYS / 2);
    CU_ASSERT_EQUAL(count_found(HOTTEST_COUNT, KEYS / 2), HOTTEST_COUNT);
    add_requests(8, KEYS / 2);
    CU_ASSERT_EQUAL(count_found(HOTTEST_COUNT, 0), 0);
}

static void
test_rate_of_a_steady_key(void)
{
    struct rs_sketch_rate rate;
    for (size_t i = 0; i < 100; i++) {
        RsSketch_Add(&sketch, now_ms, 1);
        now_ms += 50;
        CU_ASSERT(RsSketch_Rate(&sketch, now_ms, 1, &rate));
        /* Rounding up may add one request per window. */
        CU_ASSERT(rate.at_most_per_s >= 20 && rate.at_most_per_s <= 21.5);
        CU_ASSERT(rate.at_least_per_s <= 20);
        CU_ASSERT(rate.at_least_per_s >= 18.5);
    }
}

static void
test_idle_key_is_forgotten(void)
{
    struct rs_sketch_rate top[1];
    for (size_t i = 0; i < 1000; i++) {
        RsSketch_Add(&sketch, now_ms, 1);
    }
    CU_ASSERT_EQUAL(RsSketch_Top(&sketch, now_ms, top, 1), 1);
    CU_ASSERT_EQUAL(RsSketch_Top(&sketch, now_ms + 12 * WINDOW_MS, top, 1), 0);
    now_ms += 12 * WINDOW_MS;
    for (size_t i = 0; i < 8; i++) {
        RsSketch_Add(&sketch, now_ms, 2);
    }
    CU_ASSERT_EQUAL(RsSketch_Top(&sketch, now_ms, top, 1), 1);
    CU_ASSERT_EQUAL(top[0].key, 2);
    int64_t year_ms = INT64_C(365) * 24 * 3600 * 1000;
    CU_ASSERT(!RsSketch_Rate(&sketch, now_ms + year_ms, 1, top));
    RsSketch_Add(&sketch, now_ms + year_ms, 1);
    CU_ASSERT_EQUAL(RsSketch_Top(&sketch, now_ms + year_ms, top, 1), 1);
}

int
main(void)
{
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite_with_setup_and_teardown(
        "sketch", compute_distribution, NULL, reset_sketch, NULL);
    CU_ADD_TEST(suite, test_hottest_keys_are_found);
    CU_ADD_TEST(suite, test_rates_lie_within_their_bounds);
    CU_ADD_TEST(suite, test_heavy_key_has_an_entry);
    CU_ADD_TEST(suite, test_changed_hot_set_is_found_within_two_windows);
    CU_ADD_TEST(suite, test_rate_of_a_steady_key);
    CU_ADD_TEST(suite, test_idle_key_is_forgotten);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 ? 0 : 1;
}
