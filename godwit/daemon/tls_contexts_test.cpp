#include "godwit/daemon/tls_contexts.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>

using namespace Godwit;

namespace
{

// Files in a temporary directory that is removed with the object.
class CertificateFolder
{
public:
    CertificateFolder()
        : m_path(std::filesystem::temp_directory_path() / "godwit-certificate-test")
    {
        std::filesystem::remove_all(m_path);
        std::filesystem::create_directories(m_path);
    }
    ~CertificateFolder()
    {
        std::filesystem::remove_all(m_path);
    }

    std::string write(const std::string &name, const std::string &text) const
    {
        const auto file = m_path / name;
        std::ofstream(file) << text;
        return file.string();
    }

private:
    std::filesystem::path m_path;
};

} // namespace

TEST_CASE("a replaced certificate is reported as changed once")
{
    // Guards against a certificate that an operator renews in place being missed, so that callers get the old one until
    // a restart, and against one change being reported more than once.
    const CertificateFolder folder;
    TlsSettings settings;
    settings.certificate = folder.write("certificate.pem", "not a certificate");
    settings.key = folder.write("key.pem", "not a key");
    CertificateFiles files(settings);
    LastReason reason;
    CHECK(files.load(reason) == nullptr);
    REQUIRE(reason);
    CHECK(reason->message.find("certificate.pem") != std::string::npos);
    CHECK_FALSE(files.changed());
    const auto later = std::filesystem::last_write_time(settings.key) + std::chrono::seconds(10);
    std::filesystem::last_write_time(settings.key, later);
    CHECK(files.changed());
    files.load(reason);
    CHECK_FALSE(files.changed());
}
