# Helpers that keep the CMake file of each component short.
#
#   godwit_library(budget SOURCES budget_agent.cpp DEPS base)
#   godwit_test(budget SOURCES budget_agent_test.cpp DEPS budget)
#   godwit_test(budget SANITIZED ...) also runs it under the sanitizers of tools/check-sanitizers.
#   godwit_test(budget BY_CASE ...) makes every test case a test of its own, so that long cases run side by side. Only for
#   cases that share neither ports nor files.
#   godwit_test(budget SERIAL ...) runs it apart from all other tests of its run, and labels it `serial`.
#   godwit_benchmark(budget_bench SOURCES budget_bench.cpp DEPS budget)
#   godwit_program(godwitd SOURCES main.cpp DEPS daemon)
#
# DEPS names components ("base" stands for the target godwit_base) or any other CMake target.

function(_godwit_link target)
    foreach(dep IN LISTS ARGN)
        if(TARGET godwit_${dep} OR dep STREQUAL "kernel_messages" OR EXISTS ${PROJECT_SOURCE_DIR}/godwit/${dep}/CMakeLists.txt)
            target_link_libraries(${target} PUBLIC godwit_${dep})
        else()
            target_link_libraries(${target} PUBLIC ${dep})
        endif()
    endforeach()
endfunction()

function(godwit_library name)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPS" ${ARGN})
    add_library(godwit_${name} STATIC ${ARG_SOURCES})
    target_include_directories(godwit_${name} PUBLIC ${PROJECT_SOURCE_DIR})
    _godwit_link(godwit_${name} ${ARG_DEPS})
endfunction()

function(godwit_test name)
    cmake_parse_arguments(ARG "SANITIZED;BY_CASE;SERIAL" "" "SOURCES;DEPS" ${ARGN})
    add_executable(${name}_test ${ARG_SOURCES})
    target_include_directories(${name}_test PRIVATE ${PROJECT_SOURCE_DIR})
    _godwit_link(${name}_test ${ARG_DEPS} godwit_test_main)
    set(seconds 900)
    set(properties "")
    if(ARG_SANITIZED)
        set(properties LABELS sanitized)
        add_dependencies(sanitized_tests ${name}_test)
    endif()
    if(ARG_SERIAL)
        set(properties LABELS serial RUN_SERIAL TRUE)
    endif()
    if(ARG_BY_CASE)
        # The program itself lists its cases once it is built. A name that matches none of them fails. The cost lets these
        # start before the short tests.
        set(seconds 300)
        catch_discover_tests(${name}_test TEST_PREFIX "${name}_test: " EXTRA_ARGS -w NoTests
            PROPERTIES TIMEOUT ${seconds} COST 100 ${properties})
    else()
        add_test(NAME ${name}_test COMMAND ${name}_test)
        set_tests_properties(${name}_test PROPERTIES TIMEOUT ${seconds} ${properties})
    endif()
endfunction()

function(godwit_benchmark name)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPS" ${ARGN})
    add_executable(${name} ${ARG_SOURCES})
    target_include_directories(${name} PRIVATE ${PROJECT_SOURCE_DIR})
    _godwit_link(${name} ${ARG_DEPS})
endfunction()

function(godwit_program name)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPS" ${ARGN})
    add_executable(${name} ${ARG_SOURCES})
    target_include_directories(${name} PRIVATE ${PROJECT_SOURCE_DIR})
    _godwit_link(${name} ${ARG_DEPS})
endfunction()
