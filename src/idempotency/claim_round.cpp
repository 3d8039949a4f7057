#include "idempotency/claim_round.h"
