/* SipHash-2-4 with a digest of 128 bits (Aumasson and Bernstein, "SipHash: a
 * fast short-input PRF"). Who does not know the key can neither predict
 * digests nor find inputs with equal ones, so it is used for bytes that
 * callers choose.
 */

#ifndef RATTANSHED_CORE_SIPHASH_H
#define RATTANSHED_CORE_SIPHASH_H

#include <stddef.h>
#include <stdint.h>

#define RsSipHash_KEY_BYTES 16
#define RsSipHash_DIGEST_BYTES 16

void RsSipHash_Digest(const uint8_t key[RsSipHash_KEY_BYTES], const void *data,
                      size_t size_bytes,
                      uint8_t digest[RsSipHash_DIGEST_BYTES]);

#endif
