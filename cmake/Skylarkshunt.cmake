# Helpers that give every library, program and test the same flags and paths.

set(SKYLARKSHUNT_WARNINGS -Wall -Wextra -Wpedantic -Wshadow -Werror)

# Adds each folder below `group` that has a CMakeLists.txt of its own.
function(skylarkshunt_add_group group)
  file(GLOB entries CONFIGURE_DEPENDS "${PROJECT_SOURCE_DIR}/${group}/*/CMakeLists.txt")
  foreach(entry ${entries})
    get_filename_component(folder "${entry}" DIRECTORY)
    add_subdirectory("${folder}")
  endforeach()
endfunction()

# skylarkshunt_add_library(NAME SOURCES a.cc b.cc DEPENDS base absl::strings)
# The target is skylarkshunt_NAME; DEPENDS takes target names as they are.
function(skylarkshunt_add_library name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_library(skylarkshunt_${name} STATIC ${ARG_SOURCES})
  target_include_directories(skylarkshunt_${name} PUBLIC "${PROJECT_SOURCE_DIR}/include")
  target_compile_options(skylarkshunt_${name} PRIVATE ${SKYLARKSHUNT_WARNINGS})
  target_link_libraries(skylarkshunt_${name} PUBLIC ${ARG_DEPENDS} Threads::Threads)
endfunction()

# skylarkshunt_add_program(NAME SOURCES main.cc DEPENDS skylarkshunt_base)
function(skylarkshunt_add_program name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_compile_options(${name} PRIVATE ${SKYLARKSHUNT_WARNINGS})
  target_link_libraries(${name} PRIVATE ${ARG_DEPENDS} Threads::Threads)
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY "${PROJECT_BINARY_DIR}/bin")
endfunction()

# skylarkshunt_add_test(NAME SOURCES a_test.cc DEPENDS skylarkshunt_base)
# Links the CppUnit runner and registers the program with CTest.
function(skylarkshunt_add_test name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES} "${PROJECT_SOURCE_DIR}/unittests/test_main.cc")
  target_compile_options(${name} PRIVATE ${SKYLARKSHUNT_WARNINGS})
  target_compile_definitions(${name} PRIVATE
    SKYLARKSHUNT_SOURCE_DIR="${PROJECT_SOURCE_DIR}"
    SKYLARKSHUNT_BINARY_DIR="${PROJECT_BINARY_DIR}/bin")
  target_link_libraries(${name} PRIVATE ${ARG_DEPENDS} "${CPPUNIT_LIBRARY}" Threads::Threads)
  add_test(NAME ${name} COMMAND ${name})
  set_tests_properties(${name} PROPERTIES TIMEOUT 300)
endfunction()
