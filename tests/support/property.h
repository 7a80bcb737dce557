#pragma once

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

/** Checks a RapidCheck property and reports a falsified one as a CppUnit failure. */
#define CHECK_PROPERTY(description, ...) \
    CPPUNIT_ASSERT_MESSAGE(description, rc::check(description, __VA_ARGS__))
