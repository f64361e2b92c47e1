/* The settings of an entry process, read at start from a YAML file. */

#ifndef RATTANSHED_SETTINGS_SETTINGS_H
#define RATTANSHED_SETTINGS_SETTINGS_H

#include <stddef.h>
#include <stdint.h>

#include "core/error.h"

enum rs_settings_error {
    RsSettings_UNREADABLE = RsError_SETTINGS, /* or the file is too large */
    RsSettings_INVALID = RsError_SETTINGS - 1 /* see rs_settings_fault */
};

/* Addresses are numeric IPv4 or IPv6 addresses. */
struct rs_settings_endpoint {
    char *address;
    uint32_t port;
};

struct rs_settings_peers {
    char *address;
    uint32_t control_port;
    uint32_t relay_port;
};

struct rs_settings_tunables {
    uint32_t lease_ms;
    uint32_t renew_every_ms;
    uint32_t margin_ms; /* subtracted from a lease for clock drift */
    uint32_t heartbeat_every_ms;
    uint32_t suspect_after_ms;
    uint32_t poll_every_ms; /* interval of reading the platform's table */
    uint32_t shutdown_grace_ms;
    uint32_t max_body_bytes;
    uint32_t max_header_bytes;
    uint32_t retry_budget_percent; /* retries per hundred first attempts */
    uint32_t max_callers; /* maximum number of open caller connections */
};

/* Names of policies. The component that implements a policy resolves its
 * name. */
struct rs_settings_policies {
    char *admission;
    char *choice;
    char *retry;
    char *ramp;
};

struct rs_settings {
    char *name;
    char *region;
    char *domain;
    struct rs_settings_endpoint callers;
    struct rs_settings_endpoint admin;
    struct rs_settings_peers peers;
    struct rs_settings_endpoint platform;
    uint32_t log_level; /* enum rs_log_level */
    struct rs_settings_tunables tunables;
    struct rs_settings_policies policies;
};

/* Describes what is wrong with a settings file. `line` is 0 if no line can be
 * given. `field` is the path of a field or of a group of fields, or empty if
 * the fault concerns neither. */
struct rs_settings_fault {
    char file[256];
    uint32_t line;
    char field[64];
    char what[160];    /* the problem */
    char allowed[320]; /* what would be valid instead */
};

int RsSettings_Load(const char *path, struct rs_settings **out,
                    struct rs_settings_fault *fault);
void RsSettings_Free(struct rs_settings *settings);
void RsSettings_FormatFault(const struct rs_settings_fault *fault, char *text,
                            size_t size_bytes);

#endif
