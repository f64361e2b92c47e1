#include "place/slice.h"

#include <assert.h>

#include "core/id.h"
#include "place/model.h"

#define INDEX_BITS 16
#define INDEX_MASK ((UINT64_C(1) << INDEX_BITS) - 1)

/* Returns the id of a rule's slice: the upper 48 bits of the rule's id, then
 * the slice's index, which must be below RsModel_MAX_SLICES. */
uint64_t
RsSlice_Id(const char *rule, uint32_t index)
{
    assert(index < RsModel_MAX_SLICES);
    return (RsId_FromName(rule) & ~INDEX_MASK) | index;
}

/* Returns the index of a slice within its rule, given the slice's id. */
uint32_t
RsSlice_Index(uint64_t slice)
{
    return (uint32_t)(slice & INDEX_MASK);
}

/* Returns the index of the slice that contains a key, for a rule with `slices`
 * slices, at least 1. */
uint32_t
RsSlice_IndexOfKey(const void *key, size_t size_bytes, uint32_t slices)
{
    assert(slices > 0);
    return (uint32_t)(RsId_FromBytes(key, size_bytes) % slices);
}
