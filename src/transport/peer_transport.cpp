#include "transport/peer_transport.h"
