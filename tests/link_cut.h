/* Cuts the links from a node to the targets: makes new connections of its
 * process fail by preloading tests/cut_connect.c. */

#ifndef RATTANSHED_TESTS_LINK_CUT_H
#define RATTANSHED_TESTS_LINK_CUT_H

#include <stdbool.h>
#include <stdint.h>

#define RsLinkCut_VARIABLES 4

struct rs_link_cut {
    char *path; /* the links are cut while this file exists */
    /* Environment of the node's process, as NAME=VALUE. */
    char *variables[RsLinkCut_VARIABLES];
};

struct rs_link_cut_options {
    const char *folder;
    const char *library; /* the one built from tests/cut_connect.c */
    uint32_t node;
    uint32_t first_port; /* of the targets */
    uint32_t last_port;
};

void RsLinkCut_Init(struct rs_link_cut *cut,
                    const struct rs_link_cut_options *options);
void RsLinkCut_Clear(struct rs_link_cut *cut);

void RsLinkCut_Cut(const struct rs_link_cut *cut, bool hang);
void RsLinkCut_Heal(const struct rs_link_cut *cut);

#endif
