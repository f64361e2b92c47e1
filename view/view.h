/* The routing snapshot that the control task makes and the data task reads:
 * configuration, VMs, cells and assignments of one table revision. */

#ifndef RATTANSHED_VIEW_VIEW_H
#define RATTANSHED_VIEW_VIEW_H

#include <jansson.h>
#include <netinet/in.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "member/mirror.h"
#include "place/model.h"
#include "place/roster.h"
#include "ticket/config.h"
#include "view/chunks.h"

struct rs_view_vm {
    char name[RsModel_NAME_BYTES];
    char domain[RsModel_NAME_BYTES];
    bool is_entry;
    bool leaving;
    struct sockaddr_in address; /* of a target */
    struct sockaddr_in control; /* of an entry VM */
    struct sockaddr_in relay;
};

struct rs_view_cell {
    struct rs_roster_row row;
    uint64_t row_version; /* of the table's row */
};

/* The assignments of one rule, by slice index. */
struct rs_view_rule {
    char name[RsModel_NAME_BYTES];
    uint32_t slices;
    struct rs_packed_slice *packed;
    uint64_t *row_versions; /* of each chunk of slices */
    size_t row_count;
};

struct rs_view;

struct rs_view_options {
    const struct rs_mirror *mirror;
    struct rs_config *config; /* the view takes a reference of its own */
    const json_t *vms;        /* the platform's list, or NULL */
    struct rs_chunks *chunks; /* brought up to date; must outlive the view */
};

/* Life; any thread may take and give back references. */
struct rs_view *RsView_New(const struct rs_view_options *options);
struct rs_view *RsView_Ref(struct rs_view *view);
void RsView_Unref(struct rs_view *view);

/* Look */
uint64_t RsView_Revision(const struct rs_view *view);
const struct rs_config *RsView_Config(const struct rs_view *view);
const struct rs_view_vm *RsView_Vm(const struct rs_view *view,
                                   const char *name);
size_t RsView_Vms(const struct rs_view *view, const struct rs_view_vm **vms);
const struct rs_view_cell *RsView_Cell(const struct rs_view *view,
                                       const char *name);
size_t RsView_Cells(const struct rs_view *view,
                    const struct rs_view_cell **cells);
const struct rs_view_rule *RsView_Rule(const struct rs_view *view,
                                       const char *name);
size_t RsView_Rules(const struct rs_view *view,
                    const struct rs_view_rule **rules);
/* Assignments with their names. RsView_Assignment() returns false when the
 * slice has none; RsView_Unpack() also fills in those without one. */
bool RsView_Assignment(const struct rs_view *view, uint64_t slice,
                       struct rs_model_assignment *assignment);
void RsView_Unpack(const struct rs_view *view, const struct rs_view_rule *rule,
                   uint32_t index, struct rs_model_assignment *assignment);

/* The cell of a failure domain to which a target belongs; NULL when the
 * domain has no cell yet. */
const struct rs_view_cell *RsView_CellOfTarget(const struct rs_view *view,
                                               const char *domain,
                                               const char *target);

#endif
