#include "auth/keyring.h"
#include "support/property.h"

#include <cppunit/extensions/HelperMacros.h>
#include <string>

using namespace fescuecleat;

/** Keys are verified by their hashes, belong to one owner and can be rotated. */
class KeyTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(KeyTest);
    CPPUNIT_TEST(identifiesOwners);
    CPPUNIT_TEST(rotatesByConfiguration);
    CPPUNIT_TEST(rejectsAlteredKeys);
    CPPUNIT_TEST(hashDoesNotRevealKey);
    CPPUNIT_TEST(readsBearerHeader);
    CPPUNIT_TEST_SUITE_END();

    static bool isUnknown(const Keyring& keyring, const std::string& key)
    {
        return keyring.identify(key) == Identity(Unauthenticated {});
    }

    void identifiesOwners()
    {
        const NewKey operatorKey = createKey();
        const NewKey duomoKey = createKey();
        const NewKey studioKey = createKey();
        Configuration configuration;
        configuration.operatorKeyHashes_ = { toString(operatorKey.hash_) };
        configuration.organisations_ = { { OrganisationId("duomo"), {}, 1, { toString(duomoKey.hash_) } },
            { OrganisationId("studio"), {}, 1, { "no hash", toString(studioKey.hash_) } } };
        const Keyring keyring(configuration);
        CPPUNIT_ASSERT(keyring.identify(operatorKey.key_) == Identity(Operator {}));
        CPPUNIT_ASSERT(keyring.identify(duomoKey.key_) == Identity(OrganisationId("duomo")));
        CPPUNIT_ASSERT(keyring.identify(studioKey.key_) == Identity(OrganisationId("studio")));
        CPPUNIT_ASSERT(isUnknown(keyring, createKey().key_));
        CPPUNIT_ASSERT(isUnknown(keyring, ""));
        CPPUNIT_ASSERT(isUnknown(keyring, toString(duomoKey.hash_)));
    }

    void rotatesByConfiguration()
    {
        const NewKey oldKey = createKey();
        const NewKey newKey = createKey();
        const Keyring both({ toString(oldKey.hash_), toString(newKey.hash_) });
        CPPUNIT_ASSERT(both.identify(oldKey.key_) == Identity(Operator {}));
        CPPUNIT_ASSERT(both.identify(newKey.key_) == Identity(Operator {}));
        const Keyring rotated({ toString(newKey.hash_) });
        CPPUNIT_ASSERT(isUnknown(rotated, oldKey.key_));
    }

    void rejectsAlteredKeys()
    {
        const NewKey key = createKey();
        const Keyring keyring({ toString(key.hash_) });
        CHECK_PROPERTY("a key with one changed character is rejected", [&] {
            std::string altered = key.key_;
            const auto position = *rc::gen::inRange<std::size_t>(0, altered.size());
            altered[position] = *rc::gen::distinctFrom(altered[position]);
            RC_ASSERT(isUnknown(keyring, altered));
            RC_ASSERT(isUnknown(keyring, key.key_.substr(0, position)));
        });
    }

    void hashDoesNotRevealKey()
    {
        const NewKey key = createKey();
        const std::string text = toString(key.hash_);
        CPPUNIT_ASSERT(text.find(key.key_.substr(key.key_.size() - 64)) == std::string::npos);
        CPPUNIT_ASSERT(parseKeyHash(text) == key.hash_);
        CPPUNIT_ASSERT(!parseKeyHash(text + "0"));
        CPPUNIT_ASSERT(!parseKeyHash(key.key_));
        CPPUNIT_ASSERT(createKey().hash_.salt_ != key.hash_.salt_);
    }

    void readsBearerHeader()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("abc"), bearerKey({ { "authorization", "Bearer abc" } }));
        CPPUNIT_ASSERT_EQUAL(std::string("abc"), bearerKey({ { "authorization", "Bearer  abc \r" } }));
        for (const char* header : { "", "Bearer", "Bearer ", "Basic abc", "abc" })
            CPPUNIT_ASSERT_EQUAL(std::string(), bearerKey({ { "authorization", header } }));
        CPPUNIT_ASSERT_EQUAL(std::string(), bearerKey({}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(KeyTest);
