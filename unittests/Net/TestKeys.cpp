#include "TestKeys.h"

#include <cstdio>
#include <cstdlib>
#include <memory>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509.h>

namespace basilpoint {

static constexpr long validSeconds = 24 * 3'600;
static constexpr long x509Version3 = 2;

using File = std::unique_ptr<std::FILE, int (*)(std::FILE*)>;
using Key = std::unique_ptr<EVP_PKEY, void (*)(EVP_PKEY*)>;
using Certificate = std::unique_ptr<X509, void (*)(X509*)>;

TemporaryFolder::TemporaryFolder()
{
    std::string name = (std::filesystem::temp_directory_path() / "basilpoint-XXXXXX").string();
    if (!::mkdtemp(name.data()))
        throw std::filesystem::filesystem_error("mkdtemp", std::error_code(errno, std::generic_category()));
    m_path = name;
}

TemporaryFolder::~TemporaryFolder()
{
    std::error_code ec;
    std::filesystem::remove_all(m_path, ec);
}

static Certificate makeSelfSigned(const Key& key, const std::string& name)
{
    Certificate certificate(X509_new(), X509_free);
    X509_set_version(certificate.get(), x509Version3);
    ASN1_INTEGER_set(X509_get_serialNumber(certificate.get()), 1);
    X509_gmtime_adj(X509_getm_notBefore(certificate.get()), -validSeconds);
    X509_gmtime_adj(X509_getm_notAfter(certificate.get()), validSeconds);
    X509_set_pubkey(certificate.get(), key.get());
    X509_NAME* subject = X509_get_subject_name(certificate.get());
    X509_NAME_add_entry_by_txt(subject, "CN", MBSTRING_ASC, reinterpret_cast<const unsigned char*>(name.c_str()), -1, -1, 0);
    X509_set_issuer_name(certificate.get(), subject);
    X509_sign(certificate.get(), key.get(), EVP_sha256());
    return certificate;
}

PeerKeys makeTestKeys(const std::filesystem::path& folder, const std::string& name)
{
    PeerKeys keys { folder / (name + ".crt"), folder / (name + ".key"), folder / (name + ".crt") };
    Key key(EVP_EC_gen("P-256"), EVP_PKEY_free);
    Certificate certificate = makeSelfSigned(key, name);
    File certificateFile(std::fopen(keys.certificateFile.c_str(), "w"), std::fclose);
    PEM_write_X509(certificateFile.get(), certificate.get());
    File keyFile(std::fopen(keys.privateKeyFile.c_str(), "w"), std::fclose);
    PEM_write_PrivateKey(keyFile.get(), key.get(), nullptr, nullptr, 0, nullptr, nullptr);
    return keys;
}

} // namespace basilpoint
