#ifndef FLEET_INDEX_H
#define FLEET_INDEX_H

#include "bilberry/fleet.h"

/* Routes by host and prefix; it borrows the routes.  */
struct bb_route_index *route_index_new (void);
void route_index_free (struct bb_route_index *index);
void route_index_add (struct bb_route_index *index, struct bb_route *r);

#endif
