# Makes the imported libraries of packages resolve to their archives, so that a
# program needs the C library only when it starts.

# Replaces the shared library behind each imported target by the archive that
# Debian's package installs beside it.
function(skylarkshunt_use_archives)
  get_directory_property(targets IMPORTED_TARGETS)
  foreach(target ${targets})
    get_target_property(type ${target} TYPE)
    if(NOT type STREQUAL "SHARED_LIBRARY")
      continue()
    endif()
    get_target_property(configurations ${target} IMPORTED_CONFIGURATIONS)
    foreach(configuration ${configurations})
      get_target_property(location ${target} IMPORTED_LOCATION_${configuration})
      string(REGEX REPLACE "\\.so(\\.[0-9]+)*$" ".a" archive "${location}")
      if(EXISTS "${archive}")
        set_target_properties(${target} PROPERTIES
          IMPORTED_LOCATION_${configuration} "${archive}")
      endif()
    endforeach()
  endforeach()
endfunction()
