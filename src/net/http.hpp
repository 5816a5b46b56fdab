// HTTP/1.1 behind a narrow face: a server that hands whole requests to a
// function, and a client that fires one request at a worker and says honestly
// how far it got.
#pragma once
#include "net/http_client.hpp"
#include "net/http_server.hpp"
