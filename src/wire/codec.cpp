#include "wire/codec.h"
