#include "idempotency/witness_token.h"
