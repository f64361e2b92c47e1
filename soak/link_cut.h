/* Cuts the links from a node to the targets: makes new connections of its
 * process fail by preloading soak/cut_connect.c. */

#ifndef RATTANSHED_SOAK_LINK_CUT_H
#define RATTANSHED_SOAK_LINK_CUT_H

#include <stdbool.h>
#include <stdint.h>

#define RsSoakLinkCut_VARIABLES 4

struct rs_soak_link_cut {
    char *path; /* the links are cut while this file exists */
    /* Environment of the node's process, as NAME=VALUE. */
    char *variables[RsSoakLinkCut_VARIABLES];
};

struct rs_soak_link_cut_options {
    const char *folder;
    const char *library; /* the one built from soak/cut_connect.c */
    uint32_t node;
    uint32_t first_port; /* of the targets */
    uint32_t last_port;
};

void RsSoakLinkCut_Init(struct rs_soak_link_cut *cut,
                        const struct rs_soak_link_cut_options *options);
void RsSoakLinkCut_Clear(struct rs_soak_link_cut *cut);

void RsSoakLinkCut_Cut(const struct rs_soak_link_cut *cut, bool hang);
void RsSoakLinkCut_Heal(const struct rs_soak_link_cut *cut);

#endif
