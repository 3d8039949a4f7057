#include "node/peer_keys.h"

#include <cppunit/extensions/HelperMacros.h>
#include <zmq.h>

#include <array>
#include <string>

using namespace comfreypass;

class peer_keys_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(peer_keys_test);
    CPPUNIT_TEST(derivesThePublicKey);
    CPPUNIT_TEST(errorDoesNotContainTheSecret);
    CPPUNIT_TEST(rejectsAMissingKeyFile);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a public key that does not match the secret key, so that nodes reject each
    // other.
    void derivesThePublicKey()
    {
        constexpr std::size_t keyBuffer = 41;
        std::array<char, keyBuffer> publicKey{};
        std::array<char, keyBuffer> secretKey{};
        CPPUNIT_ASSERT_EQUAL(0, zmq_curve_keypair(publicKey.data(), secretKey.data()));

        sheet::settings::peer_key_values values;
        values.secretKey = secretKey.data();
        values.allowed = {publicKey.data()};
        const auto keys = node::readPeerKeys(values);
        CPPUNIT_ASSERT(keys.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string(publicKey.data()), keys.value().serverPublicKey);
        CPPUNIT_ASSERT_EQUAL(keys.value().serverSecretKey, keys.value().clientSecretKey);
        CPPUNIT_ASSERT(keys.value().allowedClients == values.allowed);
    }

    // Guards against a mistyped secret that appears in a log.
    void errorDoesNotContainTheSecret()
    {
        sheet::settings::peer_key_values values;
        values.secretKey = "not-a-key-but-secret";
        const auto keys = node::readPeerKeys(values);
        CPPUNIT_ASSERT(keys.has_error());
        CPPUNIT_ASSERT(core::describe(keys.error()).find(values.secretKey) == std::string::npos);
    }

    // Guards against a node that runs without encryption because its key file is missing.
    void rejectsAMissingKeyFile()
    {
        sheet::settings::peer_key_values values;
        values.secretKeyFile = "no-such-file.key";
        const auto keys = node::readPeerKeys(values);
        CPPUNIT_ASSERT(keys.has_error());
        CPPUNIT_ASSERT(keys.error().code == core::errc::Io);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(peer_keys_test);
