#include "godwit/daemon/tls_contexts.h"

#include <algorithm>

namespace Godwit
{

namespace ssl = boost::asio::ssl;

CertificateFiles::CertificateFiles(TlsSettings settings)
    : m_settings(std::move(settings))
{
}

CertificateFiles::FileTime CertificateFiles::lastModified() const
{
    // A default-constructed file time is no lower bound: the epoch of the file clock lies in the future.
    FileTime latest = FileTime::min();
    for (const auto &file : {m_settings.certificate, m_settings.key, m_settings.ca}) {
        std::error_code error;
        const auto time = file.empty() ? FileTime::min() : std::filesystem::last_write_time(file, error);
        if (!error) {
            latest = std::max(latest, time);
        }
    }
    return latest;
}

std::shared_ptr<ssl::context> CertificateFiles::load(LastReason &reason)
{
    m_loadedTime = lastModified();
    auto context = std::make_shared<ssl::context>(ssl::context::tls_server);
    boost::system::error_code error;
    context->set_options(ssl::context::default_workarounds | ssl::context::no_tlsv1 | ssl::context::no_tlsv1_1, error);
    context->use_certificate_chain_file(m_settings.certificate, error);
    if (error) {
        reason = Error{ErrorKind::InvalidSettings,
                       "can't use certificate " + m_settings.certificate + ": " + error.message()};
        return nullptr;
    }
    context->use_private_key_file(m_settings.key, ssl::context::pem, error);
    if (error) {
        reason = Error{ErrorKind::InvalidSettings, "can't use key " + m_settings.key + ": " + error.message()};
        return nullptr;
    }
    if (!m_settings.ca.empty()) {
        context->load_verify_file(m_settings.ca, error);
        if (error) {
            reason = Error{ErrorKind::InvalidSettings, "can't use ca " + m_settings.ca + ": " + error.message()};
            return nullptr;
        }
        context->set_verify_mode(ssl::verify_peer | ssl::verify_fail_if_no_peer_cert, error);
    }
    return context;
}

bool CertificateFiles::changed() const
{
    return enabled() && lastModified() != m_loadedTime;
}

} // namespace Godwit
