// Purpose: the baseline of the waiting time: calls of one client straight to
// one target, one after the other, without any entry process.
#include "bench/statistics.hpp"
#include "target.grpc.pb.h"
#include "wire/bounds.hpp"

#include <CLI/CLI.hpp>
#include <grpcpp/grpcpp.h>
#include <chrono>
#include <cstdint>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

namespace
{

namespace v1 = fescuevane::v1;

using stream = grpc::ClientReaderWriter<v1::OwnerBatch, v1::TargetBatch>;

constexpr std::uint64_t baseline_epoch = 1'000'000; // above any owner's
constexpr std::int64_t  lease_micros = 10'000'000;

std::int64_t read_clock()
{
    return std::chrono::duration_cast<std::chrono::microseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

v1::OwnerBatch make_batch(std::int64_t echo_micros)
{
    v1::OwnerBatch batch;
    batch.set_owner("baseline");
    batch.set_shard("baseline.0");
    batch.set_epoch(baseline_epoch);
    batch.set_attachment(1);
    batch.set_lease_micros(lease_micros);
    batch.set_echo_micros(echo_micros);
    return batch;
}

void add_start(v1::OwnerBatch& batch, std::string const& job,
               std::string const& payload)
{
    v1::StartTask& start = *batch.add_starts();
    start.mutable_task()->set_team("baseline");
    start.mutable_task()->set_job(job);
    start.mutable_task()->set_attempt(1);
    v1::JobSpec& spec = *start.mutable_spec();
    spec.set_team("baseline");
    spec.set_job(job);
    spec.set_service("baseline");
    spec.set_task_count(1);
    spec.set_idempotent(true);
    spec.mutable_demand()->set_cpu_millis(100);
    spec.mutable_demand()->set_memory_mib(64);
    spec.set_payload(payload);
    *start.mutable_reservation() = spec.demand();
}

// Sends one start and waits for its end; microseconds, below 0 on failure.
std::int64_t time_call(stream& link, std::int64_t& clock,
                       std::string const& job, std::string const& payload)
{
    v1::OwnerBatch batch = make_batch(clock);
    add_start(batch, job, payload);
    std::int64_t const begin = read_clock();
    if (!link.Write(batch))
    {
        return -1;
    }
    v1::TargetBatch reply;
    while (link.Read(&reply))
    {
        clock = reply.clock_micros();
        for (v1::TaskStatus const& status : reply.tasks())
        {
            if (status.task().job() == job && status.state() == v1::TASK_ENDED)
            {
                return read_clock() - begin;
            }
        }
    }
    return -1;
}

} // namespace

int main(int count, char** values)
{
    CLI::App    app("calls one target directly and prints p50 and p99 in us");
    std::string address;
    std::string payload = R"({"run_ms": 0, "echo": "ok"})";
    int         calls = 2000;
    app.add_option("--target", address, "IP:port of the target")->required();
    app.add_option("--payload", payload, "of each call");
    app.add_option("--calls", calls, "how many, one after the other")
        ->check(CLI::Range(1, 1'000'000));
    CLI11_PARSE(app, count, values);

    auto const channel =
        grpc::CreateChannel(address, grpc::InsecureChannelCredentials());
    auto const          stub = v1::Target::NewStub(channel);
    grpc::ClientContext context;
    auto const          link = stub->Attach(&context);
    v1::TargetBatch     snapshot;
    if (!link->Write(make_batch(0)) || !link->Read(&snapshot))
    {
        std::cerr << "can't attach to " << address << '\n';
        return 1;
    }
    std::int64_t        clock = snapshot.clock_micros();
    std::vector<double> micros;
    for (int i = 0; i < calls; ++i)
    {
        std::int64_t const took =
            time_call(*link, clock, "direct-" + std::to_string(i), payload);
        if (took < 0)
        {
            std::cerr << "the target gave no answer\n";
            return 1;
        }
        micros.push_back(static_cast<double>(took));
    }
    context.TryCancel();
    std::cout << "{\"calls\": " << calls << ", \"p50_us\": "
              << fescuevane::bench::find_quantile(micros, 0.5)
              << ", \"p99_us\": "
              << fescuevane::bench::find_quantile(micros, 0.99) << "}\n";
    return 0;
}
