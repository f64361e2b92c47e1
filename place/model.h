/* The configuration's objects, as change tickets carry them, and the
 * assignments of slices, which planners write. Each object holds its complete
 * state, not a difference. Names have 1 to RsModel_NAME_BYTES - 1 characters
 * of [a-z0-9._-]; those of cells also have a slash. */

#ifndef RATTANSHED_PLACE_MODEL_H
#define RATTANSHED_PLACE_MODEL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define RsModel_NAME_BYTES 64
#define RsModel_MAX_METHODS 8
#define RsModel_MAX_SLICES 65536

/* What happens to a service's keys when their failure domain is cut off from
 * the other domains. */
enum rs_model_cut_off {
    RsModel_KEEP_SERVING, /* the cells of the domain that is cut off continue
                           * to serve the keys */
    RsModel_HAND_OVER     /* other domains take over its slices */
};

struct rs_model_service {
    char name[RsModel_NAME_BYTES];
    bool keyed;     /* requests have keys, each with one owner; if false, any
                     * target may serve a request */
    uint32_t slots; /* requests that one target runs concurrently */
    uint32_t connections; /* maximum number of connections to one target */
    uint32_t timeout_ms;  /* of requests that name no timeout */
    uint32_t max_run_ms;  /* longest run time of a keyed request */
    uint32_t window; /* requests that may wait at a target, beyond its slots */
    uint32_t cold_ms; /* time in which the load of a newly started target
                       * is raised to the full load */
    enum rs_model_cut_off cut_off;
    char repeatable[RsModel_MAX_METHODS][16]; /* methods that may run
                                               * more than once */
    size_t repeatable_count;
};

struct rs_model_target {
    char name[RsModel_NAME_BYTES];
    bool checks_fences; /* rejects requests with an outdated fence */
};

/* The targets of one service in one failure domain. */
struct rs_model_place {
    char name[RsModel_NAME_BYTES];
    char service[RsModel_NAME_BYTES];
    char domain[RsModel_NAME_BYTES];
    struct rs_model_target *targets;
    size_t target_count;
};

/* Maps the keys of a service that begin with a prefix to places. The rule of
 * the longest matching prefix applies. */
struct rs_model_rule {
    char name[RsModel_NAME_BYTES];
    char service[RsModel_NAME_BYTES];
    char prefix[RsModel_NAME_BYTES];
    uint32_t slices; /* number of slices into which the keys are hashed */
    char (*places)[RsModel_NAME_BYTES];
    size_t place_count;
};

enum rs_model_domain_state {
    RsModel_DOMAIN_IN,
    RsModel_DOMAIN_OUT, /* taken out by operators: its slices move away */
    RsModel_DOMAIN_LOST /* operators confirm that all its VMs are gone */
};

struct rs_model_domain {
    char name[RsModel_NAME_BYTES];
    char region[RsModel_NAME_BYTES];
    enum rs_model_domain_state state;
};

/* Sizes of the lists of an assignment */
#define RsModel_MAX_SUCCESSION 5
#define RsModel_MAX_FROM 4

/* The assignment of one slice. `succession` lists the targets that may own its
 * keys: the owner chosen by the planner, then the successors in the order in
 * which they replace it. `from` lists the other cells that may still serve the
 * slice under an earlier epoch. */
struct rs_model_assignment {
    uint64_t slice; /* id */
    uint64_t epoch; /* rises whenever the cell or the succession changes;
                     * 0: not assigned */
    char cell[RsModel_NAME_BYTES]; /* cell that the slice is assigned to */
    char succession[RsModel_MAX_SUCCESSION][RsModel_NAME_BYTES];
    size_t succession_count;
    char from[RsModel_MAX_FROM][RsModel_NAME_BYTES];
    size_t from_count;
};

#endif
