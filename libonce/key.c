/* Computes the candidates of a key and the time that it carries.  */

#include "bilberry/once.h"

#include <string.h>
#include <xxhash.h>

uint32_t
bb_once_candidates (const char *const *names, uint32_t count,
                    struct bb_bytes customer, struct bb_bytes key,
                    uint32_t max, uint32_t out[BB_ONCE_CANDIDATES])
{
  uint64_t seed
      = XXH64 (key.ptr, key.size, XXH64 (customer.ptr, customer.size, 0));
  uint64_t scores[BB_ONCE_CANDIDATES] = { 0 };
  uint32_t found = 0;

  for (uint32_t i = 0; i < count; i++)
    {
      uint64_t score = XXH64 (names[i], strlen (names[i]), seed);
      uint32_t at = found;
      while (at > 0 && scores[at - 1] < score)
        at--;
      if (at == max)
        continue;
      if (found < max)
        found++;
      for (uint32_t j = found - 1; j > at; j--)
        {
          scores[j] = scores[j - 1];
          out[j] = out[j - 1];
        }
      scores[at] = score;
      out[at] = i;
    }
  return found;
}

static int
hex_digit (char c)
{
  if (c >= '0' && c <= '9')
    return c - '0';
  if (c >= 'a' && c <= 'f')
    return c - 'a' + 10;
  if (c >= 'A' && c <= 'F')
    return c - 'A' + 10;
  return -1;
}

static int
ulid_digit (char c)
{
  static const char digits[] = "0123456789ABCDEFGHJKMNPQRSTVWXYZ";
  const char *at;

  if (c >= 'a' && c <= 'z')
    c = (char)(c - 'a' + 'A');
  at = c ? strchr (digits, c) : NULL;
  return at ? (int)(at - digits) : -1;
}

/* Returns the time of a UUIDv7, its first 48 bits: xxxxxxxx-xxxx-7xxx-...;
   0 if KEY is none.  */
static int64_t
uuid_timestamp_ms (struct bb_bytes key)
{
  int64_t t = 0;

  for (uint32_t i = 0; i < key.size; i++)
    {
      bool dash = i == 8 || i == 13 || i == 18 || i == 23;
      if (dash ? key.ptr[i] != '-' : hex_digit (key.ptr[i]) < 0)
        return 0;
      if (i < 13 && !dash)
        t = t * 16 + hex_digit (key.ptr[i]);
    }
  return key.ptr[14] == '7' ? t : 0;
}

/* Returns the time of a ULID, its first ten digits of five bits; 0 if KEY is
   none.  */
static int64_t
ulid_timestamp_ms (struct bb_bytes key)
{
  int64_t t = 0;

  for (uint32_t i = 0; i < key.size; i++)
    {
      if (ulid_digit (key.ptr[i]) < 0)
        return 0;
      if (i < 10)
        t = t * 32 + ulid_digit (key.ptr[i]);
    }
  return t >> 48 ? 0 : t;
}

int64_t
bb_once_key_timestamp_ms (struct bb_bytes key)
{
  enum
  {
    UUID_SIZE = 36,
    ULID_SIZE = 26
  };

  if (key.size == UUID_SIZE)
    return uuid_timestamp_ms (key);
  if (key.size == ULID_SIZE)
    return ulid_timestamp_ms (key);
  return 0;
}
