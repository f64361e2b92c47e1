/* Measures what a routing snapshot costs in time and memory as the numbers
 * of targets and slices grow: the slopes of docs/CAPACITY.md. */

#include <glib.h>
#include <jansson.h>
#include <malloc.h>
#include <stdio.h>

#include "core/clock.h"
#include "place/assignment.h"
#include "place/slice.h"
#include "view/view.h"

#define SLICES_A_TARGET 16
#define DOMAINS 7
#define CELLS_A_DOMAIN 10
#define ROUNDS 5
#define KIB 1024.0
#define US_PER_MS 1000.0

struct world {
    struct rs_mirror *mirror;
    GArray *rows; /* struct rs_config_row */
    json_t *vms;
    struct rs_chunks *chunks;
    uint64_t revision;
};

static void
put(struct world *world, const char *key, json_t *value)
{
    char *text = json_dumps(value, JSON_COMPACT);
    struct rs_config_row row = {
        .key = g_strdup(key),
        .version = ++world->revision,
        .value = value,
    };
    RsMirror_Put(world->mirror, key, row.version, text);
    if (g_str_has_prefix(key, "object/")) {
        g_array_append_val(world->rows, row);
    }
    free(text);
}

static void
put_object(struct world *world, const char *kind, const char *name,
           json_t *value)
{
    char *key = g_strdup_printf("object/%s/%s", kind, name);
    put(world, key, json_pack("{s:i,s:o}", "ticket", 1, "value", value));
    g_free(key);
}

static void
target_name(size_t index, char name[RsModel_NAME_BYTES])
{
    snprintf(name, RsModel_NAME_BYTES, "listas-%05zu", index);
}

static void
put_domain(struct world *world, size_t domain, size_t targets)
{
    char name[RsModel_NAME_BYTES];
    char place[RsModel_NAME_BYTES];
    json_t *list = json_array();
    snprintf(name, sizeof(name), "domain-%zu", domain);
    snprintf(place, sizeof(place), "listas-%zu", domain);
    for (size_t i = domain; i < targets; i += DOMAINS) {
        char target[RsModel_NAME_BYTES];
        target_name(i, target);
        json_array_append_new(
            list, json_pack("{s:s,s:b}", "name", target, "checks_fences", 1));
        json_array_append_new(
            world->vms,
            json_pack("{s:s,s:s,s:s,s:s,s:s,s:i,s:s}", "id", target, "kind",
                      "target", "domain", name, "state", "live", "host",
                      "127.0.0.1", "port", 1000, "service", "listas"));
    }
    put_object(world, "domain", name,
               json_pack("{s:s,s:s}", "region", "sul", "state", "in"));
    put_object(world, "place", place,
               json_pack("{s:s,s:s,s:o}", "service", "listas", "domain", name,
                         "targets", list));
}

static void
put_row(struct world *world, const char *rule, uint32_t row, uint32_t slices,
        size_t targets)
{
    struct rs_model_assignment chunk[RsAssignment_PER_ROW] = {0};
    char key[RsAssignment_KEY_BYTES];
    uint32_t count = RsAssignment_InRow(slices, row);
    for (uint32_t i = 0; i < count; i++) {
        size_t index = (size_t)row * RsAssignment_PER_ROW + i;
        size_t owner = index % targets;
        chunk[i].slice = RsSlice_Id(rule, (uint32_t)index);
        chunk[i].epoch = 3;
        chunk[i].succession_count = 3;
        snprintf(chunk[i].cell, RsModel_NAME_BYTES, "domain-%zu/%zu",
                 owner % DOMAINS, owner / DOMAINS % CELLS_A_DOMAIN);
        for (size_t j = 0; j < chunk[i].succession_count; j++) {
            target_name((owner + j * DOMAINS) % targets,
                        chunk[i].succession[j]);
        }
    }
    RsAssignment_FormatKey(rule, row, key);
    json_t *value = RsAssignment_Encode(chunk, count);
    put(world, key, value);
    json_decref(value);
}

static void
put_rule(struct world *world, size_t targets)
{
    uint32_t slices = (uint32_t)targets * SLICES_A_TARGET;
    json_t *places = json_array();
    for (size_t i = 0; i < DOMAINS; i++) {
        char place[RsModel_NAME_BYTES];
        snprintf(place, sizeof(place), "listas-%zu", i);
        json_array_append_new(places, json_string(place));
    }
    put_object(world, "service", "listas",
               json_pack("{s:b,s:i,s:i,s:i,s:i,s:i,s:i,s:s,s:[s]}", "keyed", 1,
                         "slots", 2, "connections", 110, "timeout_ms", 2000,
                         "max_run_ms", 500, "window", 2, "cold_ms", 3000,
                         "cut_off", "keep-serving", "repeatable", "GET"));
    put_object(world, "rule", "listas",
               json_pack("{s:s,s:s,s:i,s:o}", "service", "listas", "prefix",
                         "", "slices", (int)slices, "places", places));
    for (uint32_t row = 0; row < RsAssignment_Rows(slices); row++) {
        put_row(world, "listas", row, slices, targets);
    }
}

static size_t
used_bytes(void)
{
    struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

/* Writes one row anew, as a commit of a planner does. */
static void
change_row(struct world *world, uint32_t row, uint32_t slices, size_t targets)
{
    put_row(world, "listas", row, slices, targets);
    RsMirror_Advance(world->mirror, world->revision);
}

static struct rs_view *
make_view(const struct world *world, int64_t *config_us, int64_t *view_us)
{
    int64_t began_us = RsClock_NowUs();
    struct rs_config *config =
        RsConfig_Build((const struct rs_config_row *)(void *)world->rows->data,
                       world->rows->len);
    *config_us = RsClock_NowUs() - began_us;
    struct rs_view_options options = {
        .mirror = world->mirror,
        .config = config,
        .vms = world->vms,
        .chunks = world->chunks,
    };
    began_us = RsClock_NowUs();
    struct rs_view *view = RsView_New(&options);
    *view_us = RsClock_NowUs() - began_us;
    RsConfig_Unref(config);
    return view;
}

static void
measure(size_t targets)
{
    struct world world = {
        .mirror = RsMirror_New(),
        .rows = g_array_new(FALSE, FALSE, sizeof(struct rs_config_row)),
        .vms = json_array(),
        .chunks = RsChunks_New(),
    };
    int64_t config_us = 0;
    int64_t view_us = 0;
    size_t before = used_bytes();
    for (size_t i = 0; i < DOMAINS; i++) {
        put_domain(&world, i, targets);
    }
    put_rule(&world, targets);
    RsMirror_Advance(world.mirror, world.revision);
    size_t rows_bytes = used_bytes() - before;
    before = used_bytes();
    struct rs_view *view = make_view(&world, &config_us, &view_us);
    size_t view_bytes = used_bytes() - before;
    int64_t again_us = INT64_MAX;
    for (uint32_t i = 0; i < ROUNDS; i++) {
        int64_t one_us;
        change_row(&world, i, (uint32_t)targets * SLICES_A_TARGET, targets);
        RsView_Unref(make_view(&world, &config_us, &one_us));
        again_us = MIN(again_us, one_us);
    }
    printf("| %zu | %zu | %.0f | %.0f | %.2f | %.2f | %.2f |\n", targets,
           targets * SLICES_A_TARGET, (double)rows_bytes / KIB,
           (double)view_bytes / KIB, (double)config_us / US_PER_MS,
           (double)view_us / US_PER_MS, (double)again_us / US_PER_MS);
    RsView_Unref(view);
}

int
main(void)
{
    printf("| targets | slices | rows and list, KiB | snapshot and decoded "
           "rows, KiB | configuration, ms | first snapshot, ms | after one "
           "row, ms |\n");
    printf("|---|---|---|---|---|---|---|\n");
    measure(31);
    measure(310);
    measure(1000);
    measure(3500);
    return 0;
}
