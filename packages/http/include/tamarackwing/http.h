#pragma once

//! HTTP/1.1 server and client on top of Boost.Beast.

#include "tamarackwing/http/connection.h"
#include "tamarackwing/http/endpoint.h"
#include "tamarackwing/http/handler.h"
#include "tamarackwing/http/io_threads.h"
#include "tamarackwing/http/message.h"
#include "tamarackwing/http/response_writer.h"
#include "tamarackwing/http/server.h"
