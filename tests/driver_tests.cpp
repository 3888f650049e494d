#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "tests/drivers/test_backend_caller.h"
#include "tests/drivers/test_http_client.h"
#include "tests/drivers/test_http_server.h"
#include "tests/drivers/test_peer_transport.h"
#include "tests/support/test_child_process.h"
