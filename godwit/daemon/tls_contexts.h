#pragma once

// Server certificates of a listener, loaded from files and reloaded when the files change.
//
// Example:
//   CertificateFiles files(settings.callerTls);
//   LastReason reason;
//   auto context = files.load(reason);
//   if (files.changed()) { ... load again ... }

#include "godwit/base/error.h"
#include "godwit/config/settings.h"

#include <boost/asio/ssl/context.hpp>

#include <filesystem>
#include <memory>

namespace Godwit
{

class CertificateFiles
{
public:
    explicit CertificateFiles(TlsSettings settings);

    bool enabled() const
    {
        return m_settings.enabled();
    }

    // Returns a context with the current contents of the files; null with a reason if they can't be used, in which case
    // a listener keeps its context.
    std::shared_ptr<boost::asio::ssl::context> load(LastReason &reason);

    // Whether the latest modification time of the files differs from that at the last load().
    bool changed() const;

private:
    using FileTime = std::filesystem::file_time_type;

    FileTime lastModified() const;

    TlsSettings m_settings;
    FileTime m_loadedTime{};
};

} // namespace Godwit
