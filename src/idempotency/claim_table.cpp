#include "idempotency/claim_table.h"
