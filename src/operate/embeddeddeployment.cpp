#include "operate/embeddeddeployment.h"

#include <nlohmann/json.hpp>

#include "operate/createkey.h"
#include "operate/operatorclient.h"
#include "records/parserecord.h"
#include "task/listening.h"

namespace cowsliphead
{

namespace
{

constexpr const char *Loopback = "127.0.0.1";
constexpr const char *AccountName = "try";
constexpr const char *ModelName = "small";
constexpr const char *DomainName = "local";

std::string endpointText(const std::string &name, std::uint16_t port, const char *serves)
{
    const nlohmann::json record = {
        { "schema", CurrentSchema },
        { "kind", "endpoint" },
        { "name", name },
        { "host", Loopback },
        { "port", port },
        { "failureDomain", DomainName },
        { "serves", serves },
        { "models", nlohmann::json::array({ ModelName }) },
        { "service", "echo" },
        { "credential", "credential-of-" + name },
    };
    return record.dump();
}

std::vector<std::string> fixedRecords()
{
    const nlohmann::json account = { { "schema", CurrentSchema }, { "kind", "account" }, { "name", AccountName } };
    const nlohmann::json model = { { "schema", CurrentSchema }, { "kind", "model" }, { "name", ModelName }, { "version", "1" } };
    const nlohmann::json route = {
        { "schema", CurrentSchema }, { "kind", "route" }, { "name", "echo" }, { "pathPrefix", "/services/echo" }, { "service", "echo" }
    };
    return { account.dump(), model.dump(), route.dump() };
}

} // namespace

Result<EmbeddedAccess> EmbeddedDeployment::start(std::uint16_t port)
{
    const auto storePort = startStore();
    if (!storePort) {
        return tl::unexpected(storePort.error());
    }
    DaemonSettings settings;
    settings.store_.port_ = *storePort;
    settings.serve_.instance_ = InstanceId("embedded");
    settings.serve_.failureDomain_ = FailureDomain(DomainName);
    settings.serve_.port_ = port;
    settings.serve_.drain_.announcePeriod_ = std::chrono::milliseconds(0);
    OperatorClient client(settings.store_);
    const auto key = writeRecords(client);
    if (!key) {
        return tl::unexpected(key.error());
    }
    const auto callerPort = daemon_.start(settings);
    if (!callerPort) {
        return tl::unexpected(callerPort.error());
    }
    return EmbeddedAccess{ *callerPort, AccountName, *key };
}

void EmbeddedDeployment::drain()
{
    daemon_.drain();
}

Result<std::uint16_t> EmbeddedDeployment::startStore()
{
    return startListening(
        store_, [](EventLoop &loop) { return std::make_unique<StoreStandin>(loop); }, [](StoreStandin &standin) { return standin.listen(Loopback, 0); });
}

Result<std::uint16_t> EmbeddedDeployment::startEngine(std::size_t index)
{
    EngineOptions options;
    options.name_ = "engine" + std::to_string(index + 1);
    options.model_ = ModelName;
    return startListening(
        engines_.at(index),
        [options](EventLoop &loop) { return std::make_unique<EngineStandin>(loop, options); },
        [](EngineStandin &standin) { return standin.listen(Loopback, 0); });
}

Result<std::uint16_t> EmbeddedDeployment::startService()
{
    return startListening(
        service_,
        [](EventLoop &loop) { return std::make_unique<ServiceStandin>(loop, "echo"); },
        [](ServiceStandin &standin) { return standin.listen(Loopback, 0); });
}

Result<std::string> EmbeddedDeployment::writeRecords(OperatorClient &client)
{
    auto texts = fixedRecords();
    for (std::size_t index = 0; index < EngineCount; ++index) {
        const auto port = startEngine(index);
        if (!port) {
            return tl::unexpected(port.error());
        }
        texts.push_back(endpointText("engine" + std::to_string(index + 1), *port, "engine"));
    }
    const auto servicePort = startService();
    if (!servicePort) {
        return tl::unexpected(servicePort.error());
    }
    texts.push_back(endpointText("echo1", *servicePort, "service"));
    const auto created = createKey(AccountId(AccountName));
    texts.push_back(created.recordText_);
    for (const auto &text : texts) {
        const auto written = client.put(text);
        if (!written) {
            return tl::unexpected(written.error().code_);
        }
    }
    return created.key_;
}

} // namespace cowsliphead
