/* Measures the time and memory that a routing snapshot takes as the numbers of
 * targets and slices grow. The growth rates in docs/CAPACITY.md come from
 * this program. */

#include <glib.h>
#include <jansson.h>
#include <malloc.h>
#include <stdio.h>

#include "core/clock.h"
#include "place/assignment.h"
#include "place/slice.h"
#include "view/view.h"

#define SLICES_PER_TARGET 16
#define DOMAINS 7
#define CELLS_PER_DOMAIN 10
#define ROUNDS 5
#define KIB 1024.0
#define US_PER_MS 1000.0

struct workload {
    struct rs_mirror *mirror;
    GArray *rows; /* struct rs_config_row */
    json_t *vms;
    struct rs_assignment_cache *cache;
    uint64_t revision;
};

static void
put(struct workload *workload, const char *key, json_t *value)
{
    char *text = json_dumps(value, JSON_COMPACT);
    struct rs_config_row row = {
        .key = g_strdup(key),
        .version = ++workload->revision,
        .value = value,
    };
    RsMirror_Put(workload->mirror, key, row.version, text);
    if (g_str_has_prefix(key, "object/")) {
        g_array_append_val(workload->rows, row);
    }
    free(text);
}

static void
put_object(struct workload *workload, const char *kind, const char *name,
           json_t *value)
{
    char *key = g_strdup_printf("object/%s/%s", kind, name);
    put(workload, key, json_pack("{s:i,s:o}", "ticket", 1, "value", value));
    g_free(key);
}

static void
format_target_name(size_t index, char name[RsModel_NAME_BYTES])
{
    snprintf(name, RsModel_NAME_BYTES, "listas-%05zu", index);
}

static void
put_domain_and_place(struct workload *workload, size_t domain, size_t targets)
{
    char name[RsModel_NAME_BYTES];
    char place[RsModel_NAME_BYTES];
    json_t *list = json_array();
    snprintf(name, sizeof(name), "domain-%zu", domain);
    snprintf(place, sizeof(place), "listas-%zu", domain);
    for (size_t i = domain; i < targets; i += DOMAINS) {
        char target[RsModel_NAME_BYTES];
        format_target_name(i, target);
        json_array_append_new(
            list, json_pack("{s:s,s:b}", "name", target, "checks_fences", 1));
        json_array_append_new(
            workload->vms,
            json_pack("{s:s,s:s,s:s,s:s,s:s,s:i,s:s}", "id", target, "kind",
                      "target", "domain", name, "state", "live", "host",
                      "127.0.0.1", "port", 1000, "service", "listas"));
    }
    put_object(workload, "domain", name,
               json_pack("{s:s,s:s}", "region", "sul", "state", "in"));
    put_object(workload, "place", place,
               json_pack("{s:s,s:s,s:o}", "service", "listas", "domain", name,
                         "targets", list));
}

static void
put_assignment_row(struct workload *workload, const char *rule, uint32_t row,
                   uint32_t slices, size_t targets)
{
    struct rs_model_assignment assignments[RsAssignment_SLICES_PER_ROW] = {0};
    char key[RsAssignment_KEY_BYTES];
    uint32_t count = RsAssignment_CountSlicesInRow(slices, row);
    for (uint32_t i = 0; i < count; i++) {
        size_t index = (size_t)row * RsAssignment_SLICES_PER_ROW + i;
        size_t owner = index % targets;
        assignments[i].slice = RsSlice_Id(rule, (uint32_t)index);
        assignments[i].epoch = 3;
        assignments[i].succession_count = 3;
        snprintf(assignments[i].cell, RsModel_NAME_BYTES, "domain-%zu/%zu",
                 owner % DOMAINS, owner / DOMAINS % CELLS_PER_DOMAIN);
        for (size_t j = 0; j < assignments[i].succession_count; j++) {
            format_target_name((owner + j * DOMAINS) % targets,
                               assignments[i].succession[j]);
        }
    }
    RsAssignment_FormatKey(rule, row, key);
    json_t *value = RsAssignment_Encode(assignments, count);
    put(workload, key, value);
    json_decref(value);
}

static void
put_service_and_rule(struct workload *workload, size_t targets)
{
    uint32_t slices = (uint32_t)targets * SLICES_PER_TARGET;
    json_t *places = json_array();
    for (size_t i = 0; i < DOMAINS; i++) {
        char place[RsModel_NAME_BYTES];
        snprintf(place, sizeof(place), "listas-%zu", i);
        json_array_append_new(places, json_string(place));
    }
    put_object(workload, "service", "listas",
               json_pack("{s:b,s:i,s:i,s:i,s:i,s:i,s:i,s:s,s:[s]}", "keyed", 1,
                         "slots", 2, "connections", 110, "timeout_ms", 2000,
                         "max_run_ms", 500, "window", 2, "cold_ms", 3000,
                         "cut_off", "keep-serving", "repeatable", "GET"));
    put_object(workload, "rule", "listas",
               json_pack("{s:s,s:s,s:i,s:o}", "service", "listas", "prefix",
                         "", "slices", (int)slices, "places", places));
    for (uint32_t row = 0; row < RsAssignment_CountRows(slices); row++) {
        put_assignment_row(workload, "listas", row, slices, targets);
    }
}

static size_t
used_bytes(void)
{
    struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

/* Writes one assignment row with a new version, as a commit by the planner
 * does. */
static void
change_row(struct workload *workload, uint32_t row, uint32_t slices,
           size_t targets)
{
    put_assignment_row(workload, "listas", row, slices, targets);
    RsMirror_Advance(workload->mirror, workload->revision);
}

static struct rs_view *
make_view(const struct workload *workload, int64_t *config_us,
          int64_t *view_us)
{
    int64_t started_us = RsClock_NowUs();
    struct rs_config *config = RsConfig_Build(
        (const struct rs_config_row *)(void *)workload->rows->data,
        workload->rows->len);
    *config_us = RsClock_NowUs() - started_us;
    struct rs_view_options options = {
        .mirror = workload->mirror,
        .config = config,
        .vms = workload->vms,
        .assignment_cache = workload->cache,
    };
    started_us = RsClock_NowUs();
    struct rs_view *view = RsView_New(&options);
    *view_us = RsClock_NowUs() - started_us;
    RsConfig_Unref(config);
    return view;
}

static void
measure(size_t targets)
{
    struct workload workload = {
        .mirror = RsMirror_New(),
        .rows = g_array_new(FALSE, FALSE, sizeof(struct rs_config_row)),
        .vms = json_array(),
        .cache = RsAssignmentCache_New(),
    };
    int64_t config_us = 0;
    int64_t view_us = 0;
    size_t before = used_bytes();
    for (size_t i = 0; i < DOMAINS; i++) {
        put_domain_and_place(&workload, i, targets);
    }
    put_service_and_rule(&workload, targets);
    RsMirror_Advance(workload.mirror, workload.revision);
    size_t rows_bytes = used_bytes() - before;
    before = used_bytes();
    struct rs_view *view = make_view(&workload, &config_us, &view_us);
    size_t view_bytes = used_bytes() - before;
    int64_t update_us = INT64_MAX;
    for (uint32_t i = 0; i < ROUNDS; i++) {
        int64_t elapsed_us;
        change_row(&workload, i, (uint32_t)targets * SLICES_PER_TARGET,
                   targets);
        RsView_Unref(make_view(&workload, &config_us, &elapsed_us));
        update_us = MIN(update_us, elapsed_us);
    }
    printf("| %zu | %zu | %.0f | %.0f | %.2f | %.2f | %.2f |\n", targets,
           targets * SLICES_PER_TARGET, (double)rows_bytes / KIB,
           (double)view_bytes / KIB, (double)config_us / US_PER_MS,
           (double)view_us / US_PER_MS, (double)update_us / US_PER_MS);
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
