/* Packs large values by zstd, as the difference against a value that the
   receiver has where there is one.  */

#include "internal.h"

#include <zstd.h>

enum
{
  /* Covers a value and the one before it, so that all of that is found.  */
  WINDOW_LOG = 24,
  LEVEL = 3
};

GBytes *
peer_pack (GBytes *value, GBytes *base)
{
  gsize size;
  gsize base_size = 0;
  const void *data = g_bytes_get_data (value, &size);
  const void *base_data = base ? g_bytes_get_data (base, &base_size) : NULL;
  size_t capacity = ZSTD_compressBound (size);
  void *packed = g_malloc (capacity);
  ZSTD_CCtx *c = ZSTD_createCCtx ();
  size_t n;

  ZSTD_CCtx_setParameter (c, ZSTD_c_compressionLevel, LEVEL);
  ZSTD_CCtx_setParameter (c, ZSTD_c_windowLog, WINDOW_LOG);
  if (base)
    ZSTD_CCtx_refPrefix (c, base_data, base_size);
  n = ZSTD_compress2 (c, packed, capacity, data, size);
  ZSTD_freeCCtx (c);
  if (ZSTD_isError (n))
    {
      g_free (packed);
      return NULL;
    }
  return g_bytes_new_take (g_realloc (packed, n), n);
}

GBytes *
peer_unpack (struct bb_bytes packed, size_t size, GBytes *base)
{
  gsize base_size = 0;
  const void *base_data = base ? g_bytes_get_data (base, &base_size) : NULL;
  void *data = g_malloc (size);
  ZSTD_DCtx *c = ZSTD_createDCtx ();
  size_t n;

  if (base)
    ZSTD_DCtx_refPrefix (c, base_data, base_size);
  n = ZSTD_decompressDCtx (c, data, size, packed.ptr, packed.size);
  ZSTD_freeDCtx (c);
  if (ZSTD_isError (n) || n != size)
    {
      g_free (data);
      return NULL;
    }
  return g_bytes_new_take (data, size);
}
