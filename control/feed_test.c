/* Tests the feed against a fake platform whose answers the test supplies. */

#include "control/feed.h"

#include <CUnit/Basic.h>
#include <glib.h>
#include <string.h>

#define STATUS_OK 200
#define POLL_MS 500

struct fake {
    struct rs_platform platform;
    rs_platform_reply reply; /* to the read of changes that is in progress */
    void *arg;
    char path[200];
    int read_count;
    int change_count; /* times that the feed reported a change */
    struct rs_feed *feed;
};

static void
fake_call(struct rs_platform *platform, const char *method, const char *path,
          const json_t *body, rs_platform_reply reply, void *arg)
{
    struct fake *fake = (struct fake *)platform;
    if (!g_str_has_prefix(path, "/table/changes")) {
        return;
    }
    fake->read_count++;
    fake->reply = reply;
    fake->arg = arg;
    g_strlcpy(fake->path, path, sizeof(fake->path));
}

static void
fake_close(struct rs_platform *platform)
{
}

static const struct rs_platform_methods fake_methods = {fake_call, fake_close};

static void
on_changed(void *arg)
{
    struct fake *fake = arg;
    fake->change_count++;
}

static void
start_feed(struct fake *fake)
{
    memset(fake, 0, sizeof(*fake));
    fake->platform.methods = &fake_methods;
    struct rs_feed_options options = {
        .platform = &fake->platform,
        .domain = "d",
        .poll_every_ms = POLL_MS,
        .changed = on_changed,
        .arg = fake,
    };
    fake->feed = RsFeed_New(&options);
    RsFeed_Tick(fake->feed, 1, true);
}

static void
answer(struct fake *fake, int status, const char *text)
{
    json_t *body =
        text != NULL ? json_loads(text, JSON_DECODE_ANY, NULL) : NULL;
    rs_platform_reply reply = fake->reply;
    fake->reply = NULL;
    CU_ASSERT_PTR_NOT_NULL_FATAL(reply);
    if (reply != NULL) {
        reply(fake->arg, status, body);
    }
    json_decref(body);
}

static uint64_t
revision(const struct fake *fake)
{
    return RsMirror_Revision(RsFeed_Mirror(fake->feed));
}

static void
test_change_is_reported_after_the_last_page(void)
{
    struct fake fake;
    start_feed(&fake);
    answer(&fake, STATUS_OK,
           "{\"revision\":4,\"more\":true,\"rows\":["
           "{\"key\":\"a\",\"version\":4,\"value\":{}}]}");
    CU_ASSERT_EQUAL(fake.change_count, 0);
    CU_ASSERT_EQUAL(fake.read_count, 2);
    CU_ASSERT_PTR_NOT_NULL(strstr(fake.path, "after=4&"));
    CU_ASSERT_FALSE(RsFeed_TableWasRead(fake.feed));
    answer(&fake, STATUS_OK,
           "{\"revision\":9,\"more\":false,\"rows\":["
           "{\"key\":\"a\",\"version\":9,\"value\":null}]}");
    CU_ASSERT_EQUAL(fake.change_count, 1);
    CU_ASSERT_EQUAL(revision(&fake), 9);
    CU_ASSERT(RsFeed_TableWasRead(fake.feed));
}

/* A change in the first page is reported even when the last page has no rows.
 * A feed that looks at the last page alone would lose it. */
static void
test_change_in_an_earlier_page_is_reported(void)
{
    struct fake fake;
    start_feed(&fake);
    answer(&fake, STATUS_OK, "{\"revision\":1,\"rows\":[]}");
    CU_ASSERT_EQUAL(fake.change_count, 1);
    RsFeed_Tick(fake.feed, 2 * POLL_MS, true);
    answer(&fake, STATUS_OK,
           "{\"revision\":4,\"more\":true,\"rows\":["
           "{\"key\":\"a\",\"version\":4,\"value\":{}}]}");
    answer(&fake, STATUS_OK, "{\"revision\":9,\"rows\":[]}");
    CU_ASSERT_EQUAL(fake.change_count, 2);
}

static void
test_malformed_page_changes_nothing(void)
{
    static const char *const malformed_pages[] = {
        "7",
        "[]",
        "{}",
        "{\"revision\":5}",
        "{\"revision\":-1,\"rows\":[]}",
        "{\"revision\":\"5\",\"rows\":[]}",
        "{\"revision\":5,\"rows\":{}}",
        "{\"revision\":5,\"rows\":[3]}",
        "{\"revision\":5,\"rows\":[{\"version\":5,\"value\":1}]}",
        "{\"revision\":5,\"rows\":[{\"key\":\"a\",\"version\":5}]}",
        ("{\"revision\":5,\"rows\":[{\"key\":\"a\",\"version\":0,"
         "\"value\":1}]}"),
        ("{\"revision\":5,\"rows\":[{\"key\":\"a\",\"version\":6,"
         "\"value\":1}]}"),
        "{\"revision\":0,\"rows\":[],\"more\":true}",
    };
    for (size_t i = 0; i < G_N_ELEMENTS(malformed_pages); i++) {
        struct fake fake;
        start_feed(&fake);
        answer(&fake, STATUS_OK, malformed_pages[i]);
        CU_ASSERT_EQUAL(fake.change_count, 0);
        CU_ASSERT_EQUAL(fake.read_count, 1);
        CU_ASSERT_EQUAL(revision(&fake), 0);
        CU_ASSERT_EQUAL(RsMirror_RowCount(RsFeed_Mirror(fake.feed)), 0);
        CU_ASSERT_FALSE(RsFeed_TableWasRead(fake.feed));
    }
}

static void
test_feed_recovers_from_an_outage(void)
{
    struct fake fake;
    start_feed(&fake);
    answer(&fake, RsPlatform_UNREACHABLE, NULL);
    CU_ASSERT_FALSE(RsFeed_PlatformAnswers(fake.feed, 1));
    RsFeed_Tick(fake.feed, 2, true);
    CU_ASSERT_EQUAL(fake.read_count, 1);
    RsFeed_Tick(fake.feed, 1 + POLL_MS, true);
    CU_ASSERT_EQUAL(fake.read_count, 2);
    answer(&fake, STATUS_OK, "{\"revision\":3,\"rows\":[]}");
    CU_ASSERT_EQUAL(revision(&fake), 3);
    CU_ASSERT_EQUAL(fake.change_count, 1);
}

static void
apply_peer_page(struct fake *fake, uint64_t after, uint64_t version,
                uint64_t last, bool more)
{
    Rs__Member__Changes changes = RS__MEMBER__CHANGES__INIT;
    Rs__Member__Row row = RS__MEMBER__ROW__INIT;
    Rs__Member__Row *rows[] = {&row};
    row.key = "k";
    row.value = "{}";
    row.version = version;
    changes.after = after;
    changes.revision = last;
    changes.more = more;
    changes.n_rows = 1;
    changes.rows = rows;
    RsFeed_ApplyChanges(fake->feed, &changes);
}

static void
test_peer_page_with_a_gap_is_ignored(void)
{
    struct fake fake;
    start_feed(&fake);
    apply_peer_page(&fake, 1, 5, 5, false);
    CU_ASSERT_EQUAL(revision(&fake), 0);
    apply_peer_page(&fake, 0, 6, 5, false);
    apply_peer_page(&fake, 0, 0, 5, false);
    CU_ASSERT_EQUAL(revision(&fake), 0);
    CU_ASSERT_EQUAL(RsMirror_RowCount(RsFeed_Mirror(fake.feed)), 0);
    apply_peer_page(&fake, 0, 2, 2, true);
    CU_ASSERT_EQUAL(fake.change_count, 0);
    apply_peer_page(&fake, 2, 5, 5, false);
    CU_ASSERT_EQUAL(revision(&fake), 5);
    CU_ASSERT_EQUAL(fake.change_count, 1);
    CU_ASSERT_FALSE(RsFeed_TableWasRead(fake.feed));
}

int
main(void)
{
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("feed", NULL, NULL);
    CU_ADD_TEST(suite, test_change_is_reported_after_the_last_page);
    CU_ADD_TEST(suite, test_change_in_an_earlier_page_is_reported);
    CU_ADD_TEST(suite, test_malformed_page_changes_nothing);
    CU_ADD_TEST(suite, test_feed_recovers_from_an_outage);
    CU_ADD_TEST(suite, test_peer_page_with_a_gap_is_ignored);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 ? 0 : 1;
}
