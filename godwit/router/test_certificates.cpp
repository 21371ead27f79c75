#include "godwit/router/test_certificates.h"

#include <boost/filesystem.hpp>
#include <cstdio>
#include <map>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>
#include <unistd.h>

namespace Godwit::TestCertificates
{
namespace
{

struct Free
{
    void operator()(X509 *certificate) const
    {
        X509_free(certificate);
    }
    void operator()(EVP_PKEY *key) const
    {
        EVP_PKEY_free(key);
    }
};

struct Identity
{
    std::unique_ptr<X509, Free> certificate;
    std::unique_ptr<EVP_PKEY, Free> key;
};

class Folder
{
public:
    Folder()
        : m_path(boost::filesystem::temp_directory_path() / ("godwit-certificates-" + std::to_string(getpid())))
    {
        boost::filesystem::create_directories(m_path);
    }
    ~Folder()
    {
        boost::system::error_code ignored;
        boost::filesystem::remove_all(m_path, ignored);
    }
    Folder(const Folder &) = delete;
    Folder &operator=(const Folder &) = delete;

    std::string file(const std::string &name) const
    {
        return (m_path / name).string();
    }

private:
    boost::filesystem::path m_path;
};

Identity makeIdentity(const std::string &commonName, const Identity *issuer)
{
    Identity made{std::unique_ptr<X509, Free>(X509_new()), std::unique_ptr<EVP_PKEY, Free>(EVP_EC_gen("P-256"))};
    X509 *certificate = made.certificate.get();
    X509_set_version(certificate, 2);
    ASN1_INTEGER_set(X509_get_serialNumber(certificate), 1);
    X509_gmtime_adj(X509_getm_notBefore(certificate), -3600);
    X509_gmtime_adj(X509_getm_notAfter(certificate), 3600);
    X509_set_pubkey(certificate, made.key.get());
    const auto *text = reinterpret_cast<const unsigned char *>(commonName.c_str());
    X509_NAME_add_entry_by_txt(X509_get_subject_name(certificate), "CN", MBSTRING_ASC, text, -1, -1, 0);
    const Identity &signer = issuer != nullptr ? *issuer : made;
    X509_set_issuer_name(certificate, X509_get_subject_name(signer.certificate.get()));
    if (issuer == nullptr) {
        X509_EXTENSION *isAuthority = X509V3_EXT_conf_nid(nullptr, nullptr, NID_basic_constraints, "CA:TRUE");
        X509_add_ext(certificate, isAuthority, -1);
        X509_EXTENSION_free(isAuthority);
    }
    X509_sign(certificate, signer.key.get(), EVP_sha256());
    return made;
}

template<typename Writer>
void write(const std::string &path, Writer writer)
{
    std::FILE *file = std::fopen(path.c_str(), "w");
    writer(file);
    std::fclose(file);
}

} // namespace

MeshTls issue(const std::string &commonName, const std::string &authority)
{
    static const Folder folder;
    static std::map<std::string, Identity> authorities;
    const auto added = authorities.try_emplace(authority);
    Identity &signer = added.first->second;
    if (added.second) {
        signer = makeIdentity(authority, nullptr);
    }
    const Identity identity = makeIdentity(commonName, &signer);
    const std::string stem = commonName + "-by-" + authority;
    MeshTls files{folder.file(stem + ".pem"), folder.file(stem + ".key"), folder.file(authority + ".pem")};
    write(files.certificateFile, [&](std::FILE *file) {
        PEM_write_X509(file, identity.certificate.get());
    });
    write(files.keyFile, [&](std::FILE *file) {
        PEM_write_PrivateKey(file, identity.key.get(), nullptr, nullptr, 0, nullptr, nullptr);
    });
    write(files.authorityFile, [&](std::FILE *file) {
        PEM_write_X509(file, signer.certificate.get());
    });
    return files;
}

} // namespace Godwit::TestCertificates
