#include "tests/bench/process_usage.h"
#include "tests/support/deployment.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <iterator>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

// Measures the latency that the system adds to a pipeline of two repeatable
// stages, compared with calling the same backend servers directly one after
// the other. Then measures the throughput of one entry and the processor time
// and memory of each role.

namespace gypsum::tests {

namespace {

using Clock = std::chrono::steady_clock;
using Microseconds = std::chrono::microseconds;

constexpr int kWarmUpSamples = 300;
constexpr int kSamples = 4'000;
constexpr int kCallers = 16;
constexpr std::chrono::seconds kLoadTime{ 10 };
constexpr std::chrono::seconds kCallTimeout{ 10 };
constexpr double kPercent = 100.0;
constexpr const char* kBody =
  "a short question of about sixty bytes, as in chat";

struct Failure : std::runtime_error
{
  using std::runtime_error::runtime_error;
};

std::string Call(HttpClient& aClient, const HttpRequest& aRequest)
{
  const auto result =
    aClient.Call(aRequest, ConnectionUse::Reusable, kCallTimeout);
  if (!result.reply || result.reply->status != 200) {
    throw Failure(
      "expected status 200 from " + aRequest.path + ", got " +
      (result.reply ? std::to_string(result.reply->status) : result.failure));
  }
  return result.reply->body;
}

HttpRequest MakePost(std::string aPath, std::string aBody)
{
  return { "POST",
           std::move(aPath),
           {},
           { { "Gypsum-Customer", "atelier" } },
           std::move(aBody) };
}

/** Calls the same two stages directly at the backend server. */
std::string CallDirectly(HttpClient& aBackend)
{
  return Call(
    aBackend,
    MakePost("/generate", Call(aBackend, MakePost("/encode", kBody))));
}

std::string CallEntry(HttpClient& aEntry)
{
  return Call(aEntry, MakePost("/v1/pipelines/answer", kBody));
}

template<typename Function>
Microseconds TimeCall(Function aFunction)
{
  const auto startTime = Clock::now();
  if (aFunction() != "generate(encode(" + std::string(kBody) + "))") {
    throw Failure("expected the complete response body, got another");
  }
  return std::chrono::duration_cast<Microseconds>(Clock::now() - startTime);
}

std::int64_t Quantile(std::vector<Microseconds> aTimes, double aShare)
{
  std::ranges::sort(aTimes);
  const auto last = static_cast<double>(aTimes.size() - 1);
  return aTimes[static_cast<std::size_t>(last * aShare)].count();
}

void PrintLatency(const std::string& aName,
                  const std::vector<Microseconds>& aTimes)
{
  std::printf("%-24s p50 %6ld us   p99 %6ld us\n",
              aName.c_str(),
              static_cast<long>(Quantile(aTimes, 0.50)),
              static_cast<long>(Quantile(aTimes, 0.99)));
}

/** Alternates the two paths, so that a busy machine slows both equally. */
void MeasureLatency(Deployment& aFleet)
{
  HttpClient backend(aFleet.Replica("writer-1").backendAddress);
  HttpClient entry(aFleet.Entry(0).httpAddress);
  std::vector<Microseconds> direct;
  std::vector<Microseconds> throughSystem;
  for (int sample = 0; sample < kWarmUpSamples + kSamples; ++sample) {
    const Microseconds directTime =
      TimeCall([&] { return CallDirectly(backend); });
    const Microseconds pathTime = TimeCall([&] { return CallEntry(entry); });
    if (sample >= kWarmUpSamples) {
      direct.push_back(directTime);
      throughSystem.push_back(pathTime);
    }
  }
  std::printf("latency of encode and generate, one caller, %d samples\n",
              kSamples);
  PrintLatency("direct chain", direct);
  PrintLatency("through the system", throughSystem);
  std::printf(
    "%-24s p50 %6ld us   p99 %6ld us\n\n",
    "added",
    static_cast<long>(Quantile(throughSystem, 0.50) - Quantile(direct, 0.50)),
    static_cast<long>(Quantile(throughSystem, 0.99) - Quantile(direct, 0.99)));
}

/** Processes of one role with their usage before the measurement. */
struct RoleUsage
{
  std::string role;
  std::vector<pid_t> processes;
  std::vector<ProcessUsage> before;
};

std::vector<ProcessUsage> ReadAll(const std::vector<pid_t>& aProcesses)
{
  std::vector<ProcessUsage> usages;
  std::ranges::transform(aProcesses, std::back_inserter(usages), ReadUsage);
  return usages;
}

void PrintUsage(const RoleUsage& aRole,
                std::uint64_t aRequests,
                double aSeconds)
{
  const auto after = ReadAll(aRole.processes);
  for (std::size_t index = 0; index < after.size(); ++index) {
    const double cpuMs =
      static_cast<double>((after[index].cpu - aRole.before[index].cpu).count());
    std::printf("%-10s %5.1f%% of a core   %6.1f us a request   %6lu KiB\n",
                aRole.role.c_str(),
                cpuMs / (aSeconds * 1'000.0) * kPercent,
                cpuMs * 1'000.0 / static_cast<double>(aRequests),
                static_cast<unsigned long>(after[index].residentKiB));
  }
}

std::uint64_t RunCallers(const std::string& aEntry)
{
  std::atomic<std::uint64_t> succeeded = 0;
  std::atomic<bool> hasFailed = false;
  const auto endTime = Clock::now() + kLoadTime;
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int caller = 0; caller < kCallers; ++caller) {
    callers.emplace_back([&] {
      HttpClient client(aEntry);
      try {
        while (Clock::now() < endTime) {
          CallEntry(client);
          ++succeeded;
        }
      } catch (const std::exception& error) {
        std::cerr << error.what() << "\n";
        hasFailed = true;
      }
    });
  }
  std::ranges::for_each(callers, [](std::thread& aCaller) { aCaller.join(); });
  if (hasFailed) {
    throw Failure("expected every request to succeed");
  }
  return succeeded;
}

void MeasureThroughput(Deployment& aFleet)
{
  const EntryHost& entry = aFleet.Entry(0);
  std::vector<RoleUsage> roles{
    { "entry", { entry.process->Id() }, {} },
    { "agent",
      { aFleet.Replica("writer-1").agent->Id(),
        aFleet.Replica("writer-2").agent->Id() },
      {} },
    { "backend",
      { aFleet.Replica("writer-1").backend->Id(),
        aFleet.Replica("writer-2").backend->Id() },
      {} },
  };
  for (RoleUsage& role : roles) {
    role.before = ReadAll(role.processes);
  }
  const auto startTime = Clock::now();
  const std::uint64_t succeeded = RunCallers(entry.httpAddress);
  const double seconds =
    std::chrono::duration<double>(Clock::now() - startTime).count();
  std::printf(
    "throughput of one entry, %d callers, %.1f s\n", kCallers, seconds);
  std::printf("%.0f requests/s of two stages each\n",
              static_cast<double>(succeeded) / seconds);
  for (const RoleUsage& role : roles) {
    PrintUsage(role, succeeded, seconds);
  }
}

} // namespace

} // namespace gypsum::tests

int main()
{
  using namespace gypsum::tests;
  try {
    Deployment fleet;
    fleet.SetLogLevel("warning");
    fleet.StartAll();
    MeasureLatency(fleet);
    MeasureThroughput(fleet);
  } catch (const std::exception& error) {
    std::cerr << "bench_path: " << error.what() << "\n";
    return EXIT_FAILURE;
  }
  return EXIT_SUCCESS;
}
