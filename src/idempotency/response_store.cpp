#include "idempotency/response_store.h"
