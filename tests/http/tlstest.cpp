#include "support/runningdaemon.h"

#include <cppunit/extensions/HelperMacros.h>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>
#include <string>

using namespace fescuecleat;

namespace {

const char* const certificateName = "tlstest-certificate.pem";
const char* const keyName = "tlstest-key.pem";
constexpr int keyBits = 2048;
constexpr long validSeconds = 3600;

/** Writes a self-signed certificate for 127.0.0.1 and its key. */
void writeCertificate()
{
    const std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)> key(EVP_RSA_gen(keyBits), EVP_PKEY_free);
    const std::unique_ptr<X509, decltype(&X509_free)> certificate(X509_new(), X509_free);
    X509_set_version(certificate.get(), X509_VERSION_3);
    X509_gmtime_adj(X509_getm_notBefore(certificate.get()), -validSeconds);
    X509_gmtime_adj(X509_getm_notAfter(certificate.get()), validSeconds);
    X509_set_pubkey(certificate.get(), key.get());
    X509_NAME* const name = X509_get_subject_name(certificate.get());
    X509_NAME_add_entry_by_txt(name, "CN", MBSTRING_ASC, reinterpret_cast<const unsigned char*>("tlstest"), -1, -1, 0);
    X509_set_issuer_name(certificate.get(), name);
    const std::unique_ptr<X509_EXTENSION, decltype(&X509_EXTENSION_free)> alternativeName(X509V3_EXT_conf_nid(nullptr, nullptr, NID_subject_alt_name, "IP:127.0.0.1"), X509_EXTENSION_free);
    X509_add_ext(certificate.get(), alternativeName.get(), -1);
    CPPUNIT_ASSERT(X509_sign(certificate.get(), key.get(), EVP_sha256()) > 0);

    std::FILE* const certificateFile = std::fopen(certificateName, "w");
    PEM_write_X509(certificateFile, certificate.get());
    std::fclose(certificateFile);
    std::FILE* const keyFile = std::fopen(keyName, "w");
    PEM_write_PrivateKey(keyFile, key.get(), nullptr, nullptr, 0, nullptr, nullptr);
    std::fclose(keyFile);
}

/** Runs curl and returns its output; empty if it failed. */
std::string curl(const std::string& arguments)
{
    std::FILE* const pipe = popen(("curl -s --max-time 5 " + arguments).c_str(), "r");
    CPPUNIT_ASSERT(pipe);
    char buffer[256];
    const std::size_t size = std::fread(buffer, 1, sizeof buffer, pipe);
    return pclose(pipe) == 0 ? std::string(buffer, size) : std::string();
}

}

/** A server with a certificate accepts only TLS, and connections that never complete the handshake don't block it. */
class TlsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TlsTest);
    CPPUNIT_TEST(servesOnlyTls);
    CPPUNIT_TEST_SUITE_END();

    void servesOnlyTls()
    {
        writeCertificate();
        test::RunningDaemon daemon(R"("tls": {"certificate": ")" + std::string(certificateName) + R"(", "private_key": ")" + keyName + "\"}, ");
        const std::string address = toString(daemon.operatorAddress()) + "/health";
        const std::string checked = "--cacert " + std::string(certificateName) + " https://" + address;
        CPPUNIT_ASSERT_EQUAL(std::string("{}"), curl(checked));
        CPPUNIT_ASSERT_EQUAL_MESSAGE("client that doesn't trust the certificate", std::string(), curl("https://" + address));
        CPPUNIT_ASSERT_EQUAL_MESSAGE("plain HTTP", std::string(), curl("http://" + address));
        const test::RawConnection silent(daemon.operatorAddress());
        CPPUNIT_ASSERT_EQUAL_MESSAGE("TLS client after the rejected ones", std::string("{}"), curl(checked));
        CPPUNIT_ASSERT_EQUAL_MESSAGE("a handshake that never completes must not delay the stop", 0, daemon.stop());
        std::remove(certificateName);
        std::remove(keyName);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TlsTest);
