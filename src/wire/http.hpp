// HTTP/1.1 behind a narrow face: a server that hands whole requests to a
// function, and a client that fires one request at a worker and says honestly
// how far it got.
#pragma once
#include "wire/http_origin.hpp"
#include "wire/http_server.hpp"
