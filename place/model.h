/* The configuration's objects, as change tickets carry them. Each is a whole
 * state; names are at most RsModel_NAME_BYTES - 1 bytes of [a-z0-9._-]. */

#ifndef RATTANSHED_PLACE_MODEL_H
#define RATTANSHED_PLACE_MODEL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define RsModel_NAME_BYTES 64
#define RsModel_MAX_METHODS 8
#define RsModel_MAX_SLICES 65536

/* Where a service's keys are served when their domain is cut off. */
enum rs_model_cut_off {
    RsModel_KEEP_SERVING, /* cells lie within one failure domain */
    RsModel_HAND_OVER     /* a lost domain's slices go to another one */
};

struct rs_model_service {
    char name[RsModel_NAME_BYTES];
    bool keyed; /* keys are owned; false for files, which any target serves */
    uint32_t slots;       /* requests that one target runs at once */
    uint32_t connections; /* that one target keeps open */
    uint32_t timeout_ms;  /* a caller's that names none */
    uint32_t max_run_ms;  /* longest run of a keyed request */
    uint32_t window;      /* waiting at the target beyond its slots */
    uint32_t cold_ms;     /* ramp of a target that has just started */
    enum rs_model_cut_off cut_off;
    char repeatable[RsModel_MAX_METHODS][16]; /* methods that may run twice */
    size_t repeatable_count;
};

struct rs_model_target {
    char name[RsModel_NAME_BYTES];
    bool checks_fences;
};

/* The targets of one service in one failure domain. */
struct rs_model_place {
    char name[RsModel_NAME_BYTES];
    char service[RsModel_NAME_BYTES];
    char domain[RsModel_NAME_BYTES];
    struct rs_model_target *targets;
    size_t target_count;
};

/* The keys of a service that begin with a prefix, and where they belong. The
 * longest prefix that fits counts. */
struct rs_model_rule {
    char name[RsModel_NAME_BYTES];
    char service[RsModel_NAME_BYTES];
    char prefix[RsModel_NAME_BYTES];
    uint32_t slices;
    char (*places)[RsModel_NAME_BYTES];
    size_t place_count;
};

enum rs_model_domain_state {
    RsModel_IN,
    RsModel_OUT, /* operators took it out: its work moves away */
    RsModel_LOST /* operators attest that all its VMs are gone */
};

struct rs_model_domain {
    char name[RsModel_NAME_BYTES];
    char region[RsModel_NAME_BYTES];
    enum rs_model_domain_state state;
};

/* One slice's row: who may own its keys, first the owner and then those who
 * follow it. `from` lists the cells that may still serve an earlier epoch. */
#define RsModel_MAX_SUCCESSION 5
#define RsModel_MAX_FROM 4

struct rs_model_assignment {
    uint64_t slice;
    uint64_t epoch; /* 0: not assigned yet */
    char cell[RsModel_NAME_BYTES];
    char succession[RsModel_MAX_SUCCESSION][RsModel_NAME_BYTES];
    size_t succession_count;
    char from[RsModel_MAX_FROM][RsModel_NAME_BYTES];
    size_t from_count;
};

#endif
