#include "godwit/router/link_config.h"

#include <openssl/ssl.h>
#include <openssl/x509v3.h>

namespace Godwit::internal
{
namespace
{

struct CertificateDeleter
{
    void operator()(X509 *certificate) const
    {
        X509_free(certificate);
    }
};

} // namespace

std::shared_ptr<boost::asio::ssl::context> makeTlsContext(const MeshTls &tls, TlsSide side, LastReason &reason)
{
    namespace ssl = boost::asio::ssl;
    const auto method = side == TlsSide::Server ? ssl::context::tls_server : ssl::context::tls_client;
    std::string file;
    try {
        auto context = std::make_shared<ssl::context>(method);
        SSL_CTX_set_min_proto_version(context->native_handle(), TLS1_2_VERSION);
        file = tls.certificateFile;
        context->use_certificate_chain_file(file);
        file = tls.keyFile;
        context->use_private_key_file(file, ssl::context::pem);
        file = tls.authorityFile;
        context->load_verify_file(file);
        context->set_verify_mode(ssl::verify_peer | ssl::verify_fail_if_no_peer_cert);
        return context;
    } catch (const std::exception &e) {
        reason = Error{ErrorKind::InvalidSettings,
                       "router links: can't use the TLS file '" + file + "' (" + e.what()
                           + "); give PEM files of certificate, key and authority that belong together",
                       Execution::NotRun,
                       std::nullopt};
        return nullptr;
    }
}

bool certificateNames(void *session, const HostId &host)
{
    // OpenSSL takes a name with a leading dot as "any host below this domain": a hello that claimed ".fleet" would
    // be proved by every certificate of the fleet, and its sender could speak for a host that it is not.
    if (host.value.empty() || host.value.front() == '.') {
        return false;
    }
    const std::unique_ptr<X509, CertificateDeleter> certificate(SSL_get1_peer_certificate(static_cast<SSL *>(session)));
    if (!certificate) {
        return false;
    }
    constexpr unsigned flags = X509_CHECK_FLAG_NO_WILDCARDS;
    return X509_check_host(certificate.get(), host.value.data(), host.value.size(), flags, nullptr) == 1;
}

} // namespace Godwit::internal
