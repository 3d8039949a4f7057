#include "idempotency/witness_store.h"
