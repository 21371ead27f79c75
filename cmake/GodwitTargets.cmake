# Helpers that keep the CMake file of each component short.
#
#   godwit_library(budget SOURCES budget_agent.cpp DEPS base)
#   godwit_test(budget SOURCES budget_agent_test.cpp DEPS budget)
#   godwit_test(budget SANITIZED ...) also runs it under the sanitizers of tools/check-sanitizers.
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
    cmake_parse_arguments(ARG "SANITIZED" "" "SOURCES;DEPS" ${ARGN})
    add_executable(${name}_test ${ARG_SOURCES})
    target_include_directories(${name}_test PRIVATE ${PROJECT_SOURCE_DIR})
    _godwit_link(${name}_test ${ARG_DEPS} godwit_test_main)
    add_test(NAME ${name}_test COMMAND ${name}_test)
    set_tests_properties(${name}_test PROPERTIES TIMEOUT 900)
    if(ARG_SANITIZED)
        set_tests_properties(${name}_test PROPERTIES LABELS sanitized)
        add_dependencies(sanitized_tests ${name}_test)
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
