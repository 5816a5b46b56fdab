// HTTP/1.1: a server that passes complete requests to a handler function, and a
// client that sends one request to a backend instance and reports whether it
// may have been executed.
#pragma once
#include "net/http_client.hpp"
#include "net/http_server.hpp"
