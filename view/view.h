/* An immutable, reference-counted routing snapshot: the configuration, cells
 * and assignments of one table revision, and the VMs as last listed by the
 * platform. The control task creates it and shares it with the data task. */

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
#include "view/assignment_cache.h"

/* A VM of the platform's list. An address for which the list has no valid port
 * is all zero. */
struct rs_view_vm {
    char name[RsModel_NAME_BYTES];
    char domain[RsModel_NAME_BYTES];
    bool is_entry;
    bool leaving;
    struct sockaddr_in address; /* of a target, for requests */
    struct sockaddr_in control; /* of an entry VM, for control messages */
    struct sockaddr_in relay;   /* of an entry VM, for relayed requests */
};

struct rs_view_cell {
    struct rs_roster_row row;
    uint64_t row_version; /* version of the cell's table row */
};

/* The assignments of one rule, in compact form. */
struct rs_view_rule {
    char name[RsModel_NAME_BYTES];
    uint32_t slices;
    struct rs_packed_assignment *packed; /* by slice index */
    uint64_t *row_versions; /* by index of the assignment row, which holds up
                             * to RsAssignment_SLICES_PER_ROW slices */
    size_t row_count;
};

struct rs_view;

struct rs_view_options {
    const struct rs_mirror *mirror;
    struct rs_config *config; /* the view adds its own reference */
    const json_t *vms;        /* the platform's list of VMs, or NULL */
    /* Updated by RsView_New. Must outlive the view. */
    struct rs_assignment_cache *assignment_cache;
};

/* Any thread may add and release references. */
struct rs_view *RsView_New(const struct rs_view_options *options);
struct rs_view *RsView_Ref(struct rs_view *view);
void RsView_Unref(struct rs_view *view);

/* Read access. What these functions return is borrowed from the view. */
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
/* RsView_Assignment and RsView_UnpackAssignment fill in an assignment with the
 * names of its targets and cells. If the slice has no assignment,
 * RsView_Assignment returns false, and RsView_UnpackAssignment fills in an
 * assignment with epoch 0. */
bool RsView_Assignment(const struct rs_view *view, uint64_t slice,
                       struct rs_model_assignment *assignment);
void RsView_UnpackAssignment(const struct rs_view *view,
                             const struct rs_view_rule *rule, uint32_t index,
                             struct rs_model_assignment *assignment);

/* Returns the cell to which a target of a failure domain belongs, or NULL if
 * the domain has no cell yet. */
const struct rs_view_cell *RsView_CellOfTarget(const struct rs_view *view,
                                               const char *domain,
                                               const char *target);

#endif
