/* Base values of the error codes. An error code is one of these values, or one
 * minus a number below 100. */

#ifndef RATTANSHED_CORE_ERROR_H
#define RATTANSHED_CORE_ERROR_H

enum rs_error_range {
    RsError_CORE = -1000,
    RsError_WIRE = -1100,
    RsError_HTTP = -1200,
    RsError_SETTINGS = -1300,
    RsError_PLATFORM = -1400,
    RsError_TICKET = -1500,
    RsError_MEMBER = -1600,
    RsError_CELL = -1700,
    RsError_PLACE = -1800,
    RsError_DISPATCH = -1900,
    RsError_FRONT = -2000,
    RsError_ADMIN = -2100
};

#endif
