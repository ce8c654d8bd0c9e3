#pragma once

//! Announcements of backend servers, and connections to those servers.

#include "tamarackwing/backend_servers/announcement.h"
#include "tamarackwing/backend_servers/announcement_listener.h"
#include "tamarackwing/backend_servers/connection_pool.h"
#include "tamarackwing/backend_servers/server_registry.h"
