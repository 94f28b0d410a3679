// Purpose: what the stand-in processes have in common.
#ifndef FESCUEVANE_TESTS_STAND_INS_PROCESS_HPP
#define FESCUEVANE_TESTS_STAND_INS_PROCESS_HPP

#include <memory>
#include <string>
#include <vector>

namespace grpc
{
class Server;
class Service;
} // namespace grpc

namespace fescuevane::stand_ins
{

// Blocks SIGTERM and SIGINT in this thread and those it starts later, so that
// `wait_for_stop` receives them. Call it before any thread is started.
void block_stop_signals();
void wait_for_stop();

// Serves on IP:PORT. Throws std::runtime_error when it can't listen.
std::unique_ptr<grpc::Server>
     start_server(std::string const&                 address,
                  std::vector<grpc::Service*> const& services);
void stop_server(grpc::Server& server);

} // namespace fescuevane::stand_ins

#endif
