add_library(fescuecleat_options INTERFACE)
target_compile_options(fescuecleat_options INTERFACE -Wall -Wextra -Wpedantic -Wnon-virtual-dtor -Wshadow)
if(FESCUECLEAT_WERROR)
    target_compile_options(fescuecleat_options INTERFACE -Werror)
endif()
if(FESCUECLEAT_SANITIZE)
    target_compile_options(fescuecleat_options INTERFACE -fsanitize=${FESCUECLEAT_SANITIZE} -fno-omit-frame-pointer)
    target_link_options(fescuecleat_options INTERFACE -fsanitize=${FESCUECLEAT_SANITIZE})
    # GCC reports false positives from inlined library code under sanitizers.
    target_compile_options(fescuecleat_options INTERFACE -Wno-maybe-uninitialized -Wno-tsan)
endif()

# Adds a program from all .cpp files of a folder.
function(fescuecleat_program name folder)
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/${folder}/*.cpp)
    if(NOT sources)
        return()
    endif()
    add_executable(${name} ${sources})
    target_link_libraries(${name} PRIVATE fescuecleat_options ${ARGN})
endfunction()

# Adds the test program of a folder of tests/ and a CTest test with the folder's name.
function(fescuecleat_tests subject)
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/${subject}/*.cpp)
    if(NOT sources)
        return()
    endif()
    add_executable(test_${subject} ${sources} ${CMAKE_SOURCE_DIR}/tests/support/main.cpp)
    # The tests of the pool daemon link only its own library, which has few dependencies; both libraries contain base/.
    if(subject MATCHES "^(node|pool|pooladapter|soak)$")
        target_link_libraries(test_${subject} PRIVATE fescuecleat_options $<$<STREQUAL:${subject},pooladapter>:fescuecleat_platform_server> $<$<STREQUAL:${subject},soak>:fescuecleat_soak> fescuecleat_pool cppunit_tests)
        target_include_directories(test_${subject} PRIVATE ${CMAKE_SOURCE_DIR}/tests)
        if(subject STREQUAL "node")
            target_link_libraries(test_${subject} PRIVATE fescuecleat_pool_model)
        endif()
    else()
        target_link_libraries(test_${subject} PRIVATE fescuecleat_options test_support)
    endif()
    # With sanitizers, the system test has another name, so that KNOWN-RED.txt can list it separately.
    set(name ${subject})
    if(subject STREQUAL "system" AND FESCUECLEAT_SANITIZE)
        set(name system_sanitized)
    endif()
    add_test(NAME ${name} COMMAND test_${subject})
    set_tests_properties(${name} PROPERTIES
        ENVIRONMENT "RC_PARAMS=seed=20261203;FESCUECLEAT_BIN=${CMAKE_BINARY_DIR}/bin;FESCUECLEAT_SOURCE=${CMAKE_SOURCE_DIR}"
        TIMEOUT 900)
endfunction()
